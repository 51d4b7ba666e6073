mod arrivals;
mod list;
mod schedule;
mod tally;
