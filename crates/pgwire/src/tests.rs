use super::*;
use rstest::rstest;

const QUERY: &str =
    "SELECT v FROM records WHERE k = 'k1' /* id=i1,c=look,t=acme,d=480,cluster=2,after=12,r=1 */";

fn query(statement: &str) -> Vec<u8> {
    [&query_head(statement.len())[..], statement.as_bytes(), &[0]].concat()
}

#[rstest]
fn truncated_message_is_incomplete() {
    let whole = query(QUERY);
    for end in 0..whole.len() {
        assert_eq!(message(&whole[..end]), Ok(None), "cut at {end}");
    }
    let more = [whole.as_slice(), b"Q"].concat();
    let found = message(&more).expect("readable").expect("whole");
    assert_eq!(
        (found.kind, found.size, text(found.body)),
        (b'Q', whole.len(), Some((QUERY.as_bytes(), &[][..])))
    );
}

#[rstest]
#[case::startup(3 << 16, Opening::Startup(0))]
#[case::newer_minor((3 << 16) + 2, Opening::Startup(2))]
#[case::tls(80_877_103, Opening::Encryption)]
#[case::gss(80_877_104, Opening::Encryption)]
#[case::cancel(80_877_102, Opening::Cancel(u64::from_be_bytes(*b"user\0svc")))]
fn truncated_opening_is_incomplete(#[case] version: u32, #[case] want: Opening) {
    let mut whole = Vec::new();
    startup(&mut whole, "svc", "main");
    whole[4..8].copy_from_slice(&version.to_be_bytes());
    for end in 0..whole.len() {
        assert_eq!(opening(&whole[..end]), Ok(None), "cut at {end}");
    }
    assert_eq!(opening(&whole), Ok(Some((want, whole.len()))));
}

#[rstest]
#[case::zero(0, false)]
#[case::three(3, false)]
#[case::minimum(4, true)]
#[case::maximum(MAX_MESSAGE as u32 - 1, true)]
#[case::above_maximum(MAX_MESSAGE as u32, false)]
#[case::negative(u32::MAX, false)]
fn message_length_is_bounded(#[case] length: u32, #[case] readable: bool) {
    let head = [&[b'Q'][..], &length.to_be_bytes()].concat();
    assert_eq!(message(&head).is_ok(), readable);
}

#[rstest]
fn statement_metadata_is_parsed_with_positions() {
    let said = parse_metadata(QUERY.as_bytes()).expect("readable");
    assert_eq!((said.id, said.group, said.customer, said.set), ("i1", "look", Some("acme"), Some("2")));
    assert_eq!((said.after, said.repeat, said.key, said.wait), (Some("12"), true, Some("k1"), "480"));
    assert_eq!(&QUERY[said.wait_at], "480");
}

#[rstest]
#[case::comment_in_a_literal("SELECT '/* id=x,c=y,d=1 */'", None)]
#[case::literal_before("INSERT INTO r VALUES ('/*', 'z') /* id=i,c=g,d= 7 */", Some("/*"))]
#[case::two_comments("/* id=a,c=b,d=1 */ SELECT 'k' /* id=i,c=g,d=7 */", Some("k"))]
fn only_last_comment_outside_literals_is_parsed(#[case] statement: &str, #[case] key: Option<&str>) {
    let found = parse_metadata(statement.as_bytes()).ok();
    assert_eq!(found.as_ref().map(|s| (s.id, s.wait)), key.map(|_| ("i", "7")));
    assert_eq!(found.and_then(|s| s.key), key);
}

#[rstest]
#[case::commas("/*id=i, t= a, b,c ,c=x, y ,d=7*/", ("a, b,c", "x, y", "7"))]
#[case::comma_in_last_value("/*id=i,d=7,c=x,t=a,b */", ("a,b", "x", "7"))]
#[case::equals_signs("/*id=i,d=7,t=a=b=,c==x*/", ("a=b=", "=x", "7"))]
#[case::no_values("/*ping, id=i,t=a,,d=7,c=x, */", ("a", "x", "7"))]
fn value_with_commas_extends_to_the_next_name(#[case] statement: &str, #[case] want: (&str, &str, &str)) {
    let found = parse_metadata(statement.as_bytes()).expect("readable");
    assert_eq!((found.customer.unwrap_or_default(), found.group, found.wait), want);
    assert_eq!(&statement[found.wait_at], found.wait);
}

#[rstest]
#[case::nothing("", true)]
#[case::blank(" \n;; ", true)]
#[case::only_comment("/* ping */", true)]
#[case::unterminated_comment("/* ping", false)]
#[case::literal("''", false)]
#[case::statement("SELECT 1", false)]
fn statement_without_content_is_empty(#[case] statement: &str, #[case] empty: bool) {
    assert_eq!(is_empty(statement.as_bytes()), empty);
}

#[rstest]
fn truncated_or_invalid_statement_is_rejected() {
    for end in 0..QUERY.len() {
        assert!(parse_metadata(&QUERY.as_bytes()[..end]).is_err(), "cut at {end}");
    }
    assert!(parse_metadata(&[0xff, 0xfe, b'/', b'*', b'*', b'/']).is_err());
}

#[rstest]
fn errors_and_parameters_round_trip() {
    let mut out = Vec::new();
    error(&mut out, false, "53300", "with\0zero", Some("250"));
    let found = message(&out).expect("readable").expect("whole");
    assert_eq!((found.kind, sqlstate(found.body)), (b'E', Some(&b"53300"[..])));
    for end in 0..found.body.len() {
        assert!(matches!(sqlstate(&found.body[..end]), None | Some(b"53300")), "cut at {end}");
    }
    assert_eq!(parameter(b"role\0primary\0"), Some(("role", "primary")));
    assert_eq!(parameter(b"role\0prim"), None);
}

#[rstest]
#[case::one(&[0, 1, 0, 0, 0, 2, b'a', b'b'], Some(&b"ab"[..]))]
#[case::empty(&[0, 1, 0, 0, 0, 0], Some(&b""[..]))]
#[case::null(&[0, 1, 255, 255, 255, 255], None)]
#[case::two(&[0, 2, 0, 0, 0, 0, 0, 0, 0, 0], None)]
#[case::too_long(&[0, 1, 0, 0, 0, 9, b'a'], None)]
#[case::truncated(&[0], None)]
fn row_must_have_exactly_one_column(#[case] body: &[u8], #[case] value: Option<&[u8]>) {
    assert_eq!(one_column(body), value);
}

#[rstest]
#[case::unknown_kind(b"?", Unreadable::Kind(b'?'))]
#[case::http_response(b"HTTP/1.1 200", Unreadable::Kind(b'H'))]
#[case::three_gigabytes(b"D\xb2\xd0\x5e\x00", Unreadable::Length(3_000_000_000))]
#[case::too_long(b"S\x00\x01\x10\x00", Unreadable::Length(69_632))]
#[case::ready_too_long(b"Z\x00\x00\x00\x06", Unreadable::Length(6))]
#[case::empty_query_too_long(b"I\x00\x00\x00\x05", Unreadable::Length(5))]
#[case::two_columns(b"D\x00\x00\x00\x0b\x00\x02\x00\x00\x00\x01", Unreadable::Row)]
#[case::column_beyond_its_row(b"D\x00\x00\x00\x0b\x00\x01\x00\x00\x00\x09", Unreadable::Row)]
#[case::null(b"D\x00\x00\x00\x0b\x00\x01\xff\xff\xff\xff", Unreadable::Row)]
fn invalid_node_message_is_rejected_by_its_header(#[case] head: &[u8], #[case] why: Unreadable) {
    assert_eq!(node_message(head), Err(why));
    let cut: Vec<_> = (0..head.len()).map(|end| node_message(&head[..end])).collect();
    assert!(cut.iter().all(|found| *found == Ok(None) || *found == Err(why)), "{cut:?}");
}

#[rstest]
fn row_with_the_longest_value_is_accepted() {
    let value = vec![7; 64 * 1024];
    let body = [&[0, 1][..], &(value.len() as u32).to_be_bytes(), &value].concat();
    let whole = [&b"D"[..], &(body.len() as u32 + 4).to_be_bytes(), &body].concat();
    for end in [0, 1, 5, 10, 11, whole.len() - 1] {
        assert_eq!(node_message(&whole[..end]), Ok(None), "cut at {end}");
    }
    let found = node_message(&whole).expect("readable").expect("whole");
    assert_eq!(one_column(found.body), Some(&value[..]));
}

#[rstest]
#[case::one(b"\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01", true)]
#[case::two(b"\x00\x02v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01", false)]
#[case::truncated(b"\x00\x01v\x00\x00\x00\x00\x00\x00", false)]
#[case::unterminated_name(b"\x00\x01vvvvvv", false)]
fn row_description_must_have_one_column(#[case] body: &[u8], #[case] one: bool) {
    assert_eq!(describes_one_column(body), one);
}

/// A write with a value of at least 6,000 bytes, made of `filler`.
fn long_write(filler: &str) -> Vec<u8> {
    let value = filler.repeat(6_000 / filler.len() + 1);
    query(&format!("INSERT INTO r (k, v) VALUES ('k1', '{value}') /* id=i1,c=order,d=480,cluster=2 */"))
}

/// Whatever part of a query was shortened before the rest arrived, the same metadata is read from it.
#[rstest]
#[case::hexadecimal("5a".into())]
#[case::quotes("ab".repeat(200) + "''")]
#[case::comment_marks("/**/ -- ".into())]
#[case::long_characters("\u{20ac}\u{1d11e}".into())]
fn shortened_query_keeps_its_metadata(#[case] filler: String) {
    let whole = long_write(&filler);
    let metadata = |query: &[u8]| {
        let found = message(query).expect("readable").expect("whole");
        let (statement, _) = text(found.body).expect("terminated");
        let said = parse_metadata(statement).expect("complete metadata");
        let fields = [said.id, said.group, said.wait, said.set.unwrap_or_default()].map(str::to_owned);
        (found.size == query.len(), fields)
    };
    for end in (HEAD..whole.len()).step_by(7) {
        let Some(shorter) = shortened(&whole[..end]) else { continue };
        assert!(shorter.len() < end, "cut at {end}");
        let query = [&shorter, &whole[end..]].concat();
        assert_eq!(metadata(&query), metadata(&whole), "cut at {end}");
        let again = shortened(&query).unwrap_or(query);
        assert_eq!(metadata(&again), metadata(&whole), "cut at {end}, shortened again");
        assert!(again.len() < whole.len() / 2, "cut at {end}: {} bytes left", again.len());
    }
}

const HEAD: usize = 5;

#[rstest]
#[case::short(query(QUERY))]
#[case::no_literal(query(&"x".repeat(3_000)))]
#[case::unfinished_comment(query(&format!("/* '{}'", "x".repeat(3_000))))]
#[case::other_kind(b"P\0\0\x10\0'".iter().copied().chain([b'x'; 3_000]).collect())]
#[case::part_of_a_head(b"Q\0\0".to_vec())]
fn message_without_a_long_literal_is_not_shortened(#[case] message: Vec<u8>) {
    assert_eq!(shortened(&message), None);
}
