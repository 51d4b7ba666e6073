use super::*;
use rstest::rstest;

#[rstest]
#[case::smallest(256, 32, [224, 100, 124, 28, 64, 16 << 20])]
#[case::largest_deployed(1024, 192, [992, 446, 546, 124, 256, 96 << 20])]
#[case::one_more_than_deployed(1025, 192, [993, 446, 547, 124, 361, 96 << 20])]
#[case::large(16_384, 192, [16_352, 7_358, 8_994, 2_044, 7_273, 96 << 20])]
#[case::large_with_little_memory(16_384, 64, [16_352, 7_358, 8_994, 2_044, 4_096, 32 << 20])]
#[case::large_with_minimal_memory(16_384, 1, [16_352, 7_358, 8_994, 2_044, 256, 1 << 19])]
fn limits_are_derived_from_configured_ones(
    #[case] sockets: usize,
    #[case] mb: usize,
    #[case] want: [usize; 6],
) {
    let Limits { room, clients, nodes, spare, staying_clients, held, .. } = Limits::new(sockets, mb << 20);
    assert_eq!([room, clients, nodes, spare, staying_clients, held], want);
}

/// Up to the deployment's largest descriptor limit, the documented quarter is used.
#[rstest]
fn staying_clients_get_a_quarter_up_to_the_deployed_limit(
    #[values(256, 384, 512, 768, 1023, 1024)] sockets: usize,
) {
    for mb in [1, 32, 192] {
        assert_eq!(Limits::new(sockets, mb << 20).staying_clients, sockets / 4, "{mb} MB");
    }
}

/// More descriptors or more memory never reduce the number of clients that may stay connected.
#[rstest]
fn staying_clients_never_decrease_with_larger_limits() {
    let staying = |sockets, mb: usize| Limits::new(sockets, mb << 20).staying_clients;
    for sockets in (256..40_000).step_by(37) {
        for mb in [1, 8, 32, 64, 192, 1_024] {
            assert!(staying(sockets + 37, mb) >= staying(sockets, mb), "{sockets} sockets, {mb} MB");
            assert!(staying(sockets, mb + 1) >= staying(sockets, mb), "{sockets} sockets, {mb} MB");
        }
    }
}

/// What the program needs beside the bytes held for clients, in bytes: itself, a connection with the buffers that it keeps, and
/// a listed member (`docs/measured/slopes.hcl`).
const PROGRAM: usize = 4_200_000;
const CONNECTION: usize = 5 * 1_024;
const MEMBER: usize = 2_213;
/// The most members that the deployment lists.
const MEMBERS: usize = 3_200;

/// Guards against limits that are sound one by one and take more than the memory together.
#[rstest]
fn bytes_held_for_clients_fit_into_the_memory_beside_everything_else(
    #[values(256, 384, 512, 768, 1024)] sockets: usize,
    #[values(32, 48, 64, 128, 192)] mb: usize,
) {
    let limits = Limits::new(sockets, mb << 20);
    let needed = limits.held + PROGRAM + limits.room * CONNECTION + MEMBERS * MEMBER;
    assert!(needed <= mb << 20, "{needed} bytes of {mb} MB");
    assert!(
        limits.held_for_read_ahead < limits.held_after_reclaim && limits.held_after_reclaim < limits.held
    );
}
