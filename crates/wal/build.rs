//! Compiles the store's protobuf description without an outside compiler.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/ledger.proto");
    let files = protox::compile(["ledger.proto"], ["proto"])?;
    prost_build::Config::new().compile_fds(files)?;
    Ok(())
}
