//! Compiles the consensus crate's protobuf description without an external protoc.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/consensus.proto");
    let files = protox::compile(["consensus.proto"], ["proto"])?;
    prost_build::Config::new().compile_fds(files)?;
    Ok(())
}
