//! Tests of the transitions of the manager's state.

use super::*;

#[test]
fn cordoned_manager_quiesces_until_idle_and_serves_once_uncordoned() {
    let at_micros = Timestamp::from_micros;
    let state = ManagerState::Serving.with_in_flight(at_micros(1), 0);
    assert!(state.is_accepting(), "an idle manager is not quiesced");
    let state =
        state.with_cordon(at_micros(2), true).with_cordon(at_micros(3), true).with_in_flight(at_micros(4), 5);
    assert_eq!(
        state,
        ManagerState::Quiescing { since: at_micros(2) },
        "a second cause does not restart quiescing"
    );
    let state = state.with_in_flight(at_micros(5), 0).with_in_flight(at_micros(6), 0);
    assert_eq!(state, ManagerState::Quiesced { since: at_micros(5) });
    assert!(!state.is_accepting());
    assert_eq!(state.with_in_flight(at_micros(7), 1), ManagerState::Quiescing { since: at_micros(5) });
    assert_eq!(state.with_cordon(at_micros(8), false), ManagerState::Serving);
}
