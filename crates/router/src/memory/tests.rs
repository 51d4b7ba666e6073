use super::*;
use rstest::rstest;

#[rstest]
fn bytes_are_counted_for_their_owner_until_they_are_dropped() {
    let memory = Memory::default();
    let mut input = memory.buffer(Owner::Input);
    input.append(&[0; 100]);
    input.discard_front(40);
    assert_eq!((memory.used(Owner::Input), memory.total()), (60, 60));
    let taken = input.take();
    assert_eq!((input.len(), taken.len(), memory.used(Owner::Input)), (0, 60, 60));
    let output = taken.with_owner(Owner::Output);
    assert_eq!((memory.used(Owner::Input), memory.used(Owner::Output)), (0, 60));
    let statement = memory.hold(Owner::Statements, vec![0; 7]);
    assert_eq!(memory.total(), 67);
    drop((output, statement, input));
    assert_eq!(memory.total(), 0);
}

/// Guards against a few bytes that keep the pages of the large message before them resident.
#[rstest]
fn buffer_gives_back_the_memory_of_what_was_consumed() {
    let mut buffer = Memory::default().buffer(Owner::Input);
    buffer.append(&[0; 140_000]);
    buffer.discard_front(139_990);
    assert_eq!(buffer.len(), 10);
    assert!(buffer.bytes.capacity() <= KEPT_CAPACITY, "{}", buffer.bytes.capacity());
}
