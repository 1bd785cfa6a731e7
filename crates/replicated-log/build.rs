//! Compiles the records of the replicated log without an external protoc.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto");
    let files = protox::compile(["replicated_log.proto"], ["proto"])?;
    // The descriptors are part of the crate: the compatibility checker reads the log's own schema from them.
    let out_dir = std::path::PathBuf::from(std::env::var("OUT_DIR")?);
    std::fs::write(out_dir.join("replicated_log.fds"), prost::Message::encode_to_vec(&files))?;
    let mut config = prost_build::Config::new();
    config.btree_map(["."]);
    config.compile_fds(files)?;
    Ok(())
}
