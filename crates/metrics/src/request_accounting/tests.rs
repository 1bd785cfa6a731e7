//! Tests that compare the accounting of requests with a model.

use super::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Operation {
    Start(usize),
    Complete(usize, u8),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        (0..5_usize).prop_map(Operation::Start),
        (any::<usize>(), 0..5_u8).prop_map(|(index, outcome)| Operation::Complete(index, outcome))
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// In any order of starts and completions, the number of outstanding requests is the number of
    /// [`ActiveRequest`]s that are held, and each completion counts in exactly one counter of its class.
    #[test]
    fn outstanding_is_the_number_of_active_requests(operations in prop::collection::vec(operation(), 0..200)) {
        const CLASSES: usize = 3;
        let accounting = RequestAccounting::new(CLASSES);
        let mut active: Vec<(usize, ActiveRequest)> = Vec::new();
        let mut model = [RequestCounts::default(); CLASSES];
        let (mut abandoned, mut completed_without_class) = (0, 0);
        for operation in operations {
            match operation {
                Operation::Start(class) => active.push((class, accounting.start(class))),
                Operation::Complete(index, outcome) if !active.is_empty() => {
                    let (class, request) = active.swap_remove(index % active.len());
                    let mut ignored_counts = RequestCounts::default();
                    let counts = model.get_mut(class).unwrap_or(&mut ignored_counts);
                    match outcome {
                        0 => { request.succeed(); counts.succeeded += 1 }
                        1 => { request.reject(); counts.rejected += 1 }
                        2 => { request.abort(); counts.aborted += 1 }
                        3 => { request.abandon(); counts.abandoned += 1; abandoned += 1 }
                        _ => { drop(request); counts.aborted += 1 }
                    }
                    completed_without_class += u64::from(class >= CLASSES);
                }
                Operation::Complete(..) => {}
            }
            prop_assert_eq!(accounting.outstanding(), active.len() as u64);
            for (class, counts) in model.iter().enumerate() {
                prop_assert_eq!(accounting.counts(class), Some(*counts));
            }
            prop_assert_eq!((accounting.abandoned.get(), accounting.unclassed.get()), (abandoned, completed_without_class));
        }
        prop_assert_eq!(accounting.counts(CLASSES), None);
    }
}
