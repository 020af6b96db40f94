//! Stand-ins and cases of the third review.

mod cases;
mod engine;
mod http;
mod json;
mod store;
mod world;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some((name, rest)) = arguments.split_first() else {
        panic!("usage: standin-3 engine ... | CASE FOLDER");
    };
    if name == "engine" {
        return engine::run(rest);
    }
    let folder = rest.first().expect("the folder of the case");
    cases::run(name, folder.as_ref());
}
