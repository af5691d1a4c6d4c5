//! x
mod workspace_load;
use workspace_load::{Policy, Scenario, play};
#[test]
fn explore() {
    for policy in [
        Policy::Placeholder,
        Policy::LeastRecentlyUsed,
        Policy::LeastFrequentlyUsed,
        Policy::MarginalValue,
    ] {
        let calm = Scenario::calm();
        println!("{}", play(policy, &calm).line(&format!("{policy:?} calm")));
        let s = Scenario { has_sessions: true, ..calm.clone() };
        println!("{}", play(policy, &s).line(&format!("{policy:?} sessions")));
        let s = Scenario { burst: 7.5, ..calm.clone() };
        println!("{}", play(policy, &s).line(&format!("{policy:?} burst")));
        let s = Scenario { resting: 0.3, ..calm.clone() };
        println!("{}", play(policy, &s).line(&format!("{policy:?} resting")));
        let s = Scenario { starts_together: true, warm_up_s: 0.0, seconds: 10.0, ..calm.clone() };
        println!("{}", play(policy, &s).line(&format!("{policy:?} start")));
    }
}
