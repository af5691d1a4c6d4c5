//! The record of a promotion lock, and its fencing tokens.

use std::sync::Arc;

use persimmon_promotion::PromotionLockRecord;

#[test]
fn token_acquired_after_a_restore_is_above_every_token_of_before() {
    let kept = PromotionLockRecord::acquired(None, 1, &Arc::from("x"), 1, 10);
    let mut latest = kept.clone();
    for at in 0..50 {
        latest = PromotionLockRecord::acquired(Some(&latest), 1, &Arc::from("x"), 1, at);
    }

    let with_record = PromotionLockRecord::acquired(Some(&kept), 2, &Arc::from("y"), 2, 60);
    let without = PromotionLockRecord::acquired(None, 2, &Arc::from("y"), 2, 60);

    assert!(with_record.token > latest.token && without.token > latest.token);
    assert_eq!((kept.era(), latest.era(), without.era()), (1, 1, 2));
}
