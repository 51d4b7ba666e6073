use super::*;
use rstest::rstest;

#[rstest]
#[case::requested_first(4, Standing::Old)]
#[case::requested_together(5, Standing::Old)]
#[case::requested_before_receipt(9, Standing::Likely)]
#[case::requested_at_receipt(10, Standing::Proven)]
#[case::requested_later(11, Standing::Proven)]
fn primary_claim_disproves_only_claims_received_before_its_request(
    #[case] requested_at: Tenths,
    #[case] standing: Standing,
) {
    let mut roles = Roles::default();
    roles.claims_replica(5, 10);
    assert_eq!(roles.claims_primary(requested_at), standing);
    assert_eq!(roles.may_be_replica(), standing != Standing::Proven);
    assert_eq!(roles.was_primary_after(requested_at - 1), standing != Standing::Old);
}

#[rstest]
fn late_replica_claim_casts_doubt_on_the_primary() {
    let mut roles = Roles::default();
    assert_eq!(roles.claims_primary(20), Standing::Proven);
    roles.claims_replica(10, 30);
    assert!(roles.may_be_replica(), "the claim was made at some time from 10 to 30");
    assert!(roles.was_primary_after(10));
    assert_eq!(roles.claims_primary(25), Standing::Likely);
    assert_eq!(roles.claims_primary(31), Standing::Proven);
    assert!(!roles.may_be_replica());
}

#[rstest]
fn older_claims_do_not_replace_later_ones() {
    let mut roles = Roles::default();
    roles.claims_replica(25, 30);
    roles.claims_replica(5, 10);
    assert_eq!(roles.claims_primary(20), Standing::Old);
    assert_eq!(roles.claims_primary(40), Standing::Proven);
    assert_eq!(roles.claims_primary(35), Standing::Proven);
    assert!(roles.was_primary_after(39));
}
