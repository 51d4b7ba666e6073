mod schedule;
