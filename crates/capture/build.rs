//! Compiles the protobuf description of the file format without an installed protobuf compiler.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/capture.proto");
    let files = protox::compile(["capture.proto"], ["proto"])?;
    prost_build::Config::new().compile_fds(files)?;
    Ok(())
}
