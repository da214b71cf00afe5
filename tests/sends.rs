//! What the sends of a request prove about it.

use emberturn::decide::sends::{NotRunProof, SendLedger};
use proptest::prelude::*;

/// What becomes of a send; `None` if nothing proves that it did not run.
fn outcomes() -> impl Strategy<Value = Vec<Option<NotRunProof>>> {
    let proofs = [NotRunProof::NotSent, NotRunProof::FirstAnswer, NotRunProof::NamedAnswer];
    let outcome = prop_oneof![Just(None), proptest::sample::select(proofs.to_vec()).prop_map(Some)];
    proptest::collection::vec(outcome, 0..8)
}

proptest! {
    /// Guards against a request that ran although its caller was told that it did not: a later refusal spoke for an
    /// earlier send.
    #[test]
    fn request_is_proven_not_to_have_run_only_if_each_send_is(outcomes in outcomes(), order in any::<u64>()) {
        let mut ledger = SendLedger::default();
        let mut proofs: Vec<_> = outcomes.iter().flatten().copied().collect();
        // Sends overlap, so proofs come in any order.
        let turns = proofs.len().max(1);
        proofs.rotate_left(order as usize % turns);
        outcomes.iter().for_each(|_| ledger.begin());
        for (known, proof) in proofs.iter().enumerate() {
            prop_assert_eq!(ledger.may_have_run() as usize, outcomes.len() - known);
            ledger.prove_not_run(*proof);
        }
        let is_proven = outcomes.iter().all(Option::is_some);
        prop_assert_eq!(ledger.is_proven_not_run(), is_proven);
        let refused = proofs.iter().filter(|proof| proof.is_refusal()).count();
        prop_assert_eq!(ledger.refused() as usize, refused);
        prop_assert_eq!(ledger.reached() as usize, outcomes.len() - (proofs.len() - refused));
    }
}

#[test]
fn request_without_a_send_has_not_run() {
    assert!(SendLedger::default().is_proven_not_run());
}
