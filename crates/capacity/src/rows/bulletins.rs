//! Feeds and embargoes.

use super::{Line, Unit, line};
use crate::Role::{Edge, Gateway, Publisher};

const GATEWAY: &str = "crates/feeds (gateway.rs, sub.rs); no host yet";
const PUBLISHER: &str = "crates/embargo (publisher.rs); no host yet";
const GATE: &str = "crates/embargo (gate.rs, edge.rs); no host yet";

pub(super) const LINES: [Line; 11] = [
    line(
        Gateway,
        "processor, pushes",
        Unit::Cores,
        GATEWAY,
        |w| w.line("feeds.cpu.push", w.at.pushes()),
        |s| s.feeds.room.cores,
    ),
    line(
        Gateway,
        "memory, subscriptions",
        Unit::Bytes,
        GATEWAY,
        |w| w.line("feeds.memory.subscription", w.at.subscriptions()),
        |s| s.feeds.room.memory,
    ),
    line(
        Gateway,
        "bytes, pushes",
        Unit::BytesASecond,
        GATEWAY,
        |w| w.line("feeds.bytes.push", w.at.pushes()),
        |s| s.feeds.room.bytes,
    ),
    line(
        Gateway,
        "descriptors, desks",
        Unit::Descriptors,
        GATEWAY,
        |w| w.line("feeds.descriptors.subscription", w.at.subscriptions()),
        |s| s.feeds.descriptors,
    ),
    line(
        Publisher,
        "descriptors, edges",
        Unit::Descriptors,
        PUBLISHER,
        |w| w.line("embargo.publisher.descriptors.edge", w.at.edges()),
        |s| s.embargo.descriptors,
    ),
    line(
        Edge,
        "bytes, schedules",
        Unit::BytesASecond,
        GATE,
        |w| w.line("embargo.edge.bytes.bulletin", w.at.bulletins()),
        |s| s.embargo.room.bytes,
    ),
    line(
        Publisher,
        "processor, renewals",
        Unit::Cores,
        PUBLISHER,
        |w| w.line("embargo.publisher.cpu.edge", w.at.edges()),
        |s| s.embargo.room.cores,
    ),
    line(
        Publisher,
        "memory, holders",
        Unit::Bytes,
        PUBLISHER,
        |w| w.line("embargo.publisher.memory.edge", w.at.edges()),
        |s| s.embargo.room.memory,
    ),
    line(
        Publisher,
        "bytes, renewals",
        Unit::BytesASecond,
        PUBLISHER,
        |w| w.line("embargo.publisher.bytes.edge", w.at.edges()),
        |s| s.embargo.room.bytes,
    ),
    line(
        Edge,
        "processor, schedules",
        Unit::Cores,
        GATE,
        |w| w.line("embargo.edge.cpu.bulletin", w.at.bulletins()),
        |s| s.embargo.room.cores,
    ),
    line(
        Edge,
        "memory, schedules",
        Unit::Bytes,
        GATE,
        |w| w.line("embargo.edge.memory.bulletin", w.at.bulletins()),
        |s| s.embargo.room.memory,
    ),
];
