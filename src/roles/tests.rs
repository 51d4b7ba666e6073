use super::*;
use rstest::rstest;

#[rstest]
#[case::requested_first(4, ClaimStanding::Old)]
#[case::requested_together(5, ClaimStanding::Old)]
#[case::requested_before_receipt(9, ClaimStanding::Likely)]
#[case::requested_at_receipt(10, ClaimStanding::Proven)]
#[case::requested_later(11, ClaimStanding::Proven)]
fn primary_claim_disproves_only_claims_received_before_its_request(
    #[case] requested_at: Tenths,
    #[case] standing: ClaimStanding,
) {
    let mut roles = Roles::default();
    roles.record_replica_claim(5, 10);
    assert_eq!(roles.record_primary_claim(requested_at), standing);
    assert_eq!(roles.may_be_replica(), standing != ClaimStanding::Proven);
    assert_eq!(roles.claimed_primary_after(requested_at - 1), standing != ClaimStanding::Old);
}

#[rstest]
fn late_replica_claim_casts_doubt_on_the_primary() {
    let mut roles = Roles::default();
    assert_eq!(roles.record_primary_claim(20), ClaimStanding::Proven);
    roles.record_replica_claim(10, 30);
    assert!(roles.may_be_replica(), "the claim was made at some time from 10 to 30");
    assert!(roles.claimed_primary_after(10));
    assert_eq!(roles.record_primary_claim(25), ClaimStanding::Likely);
    assert_eq!(roles.record_primary_claim(31), ClaimStanding::Proven);
    assert!(!roles.may_be_replica());
}

#[rstest]
fn older_claims_do_not_replace_later_ones() {
    let mut roles = Roles::default();
    roles.record_replica_claim(25, 30);
    roles.record_replica_claim(5, 10);
    assert_eq!(roles.record_primary_claim(20), ClaimStanding::Old);
    assert_eq!(roles.record_primary_claim(40), ClaimStanding::Proven);
    assert_eq!(roles.record_primary_claim(35), ClaimStanding::Proven);
    assert!(roles.claimed_primary_after(39));
}
