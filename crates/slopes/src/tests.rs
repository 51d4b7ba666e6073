mod helper;

mod fit;
mod plays;
mod table;
