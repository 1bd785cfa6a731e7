//! ACME certificates of the second front, from a stand-in authority.
#[path = "support/authority.rs"]
mod authority;
mod support;

use authority::{until_ready, Authority, Tls};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;
use support::*;

const NAME: &str = "pg.fret-atlas.test";

/// An address whose port was free just before: the program's configuration needs a fixed port.
fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address")
}

fn start_program(authority: &Authority, challenges: SocketAddr, store: Option<&std::path::Path>) -> Program {
    let dir = scratch_dir();
    let root = dir.join("root.pem");
    std::fs::write(&root, &authority.root).expect("written");
    let store = store.map_or(String::new(), |s| format!(r#""store":"{}","#, s.display()));
    let operator = format!(
        r#"{{"listen":"127.0.0.1:0","default_class":"lane-rate","tls":"required","acme":{{
            "directory":"{}","trust_root":"{}","names":["{NAME}"],{store}
            "challenge_listen":"{challenges}","renew_before_s":100000,"retry_s":[0.1,0.4]}}}}"#,
        authority.directory,
        root.display()
    );
    Program::start(&[], None, Some(&operator))
}

fn secure(program: &Program, authority: &Authority) -> Tls {
    authority.secure(
        RawClient::open(program.second.expect("the second front is on")).stream,
        NAME,
        &startup(),
    )
}

fn ask(tls: &mut Tls) -> String {
    tls.write_all(&query("")).expect("written");
    until_ready(tls)
}

/// Certificates with a lifetime of 15 s are renewed before they expire, and a session started under the first
/// one continues.
#[test]
fn certificate_is_renewed_before_expiry_and_sessions_continue() {
    let challenges = free_port();
    let authority = Authority::start(Duration::from_secs(15), challenges);
    let program = start_program(&authority, challenges, None);
    program.wait_line("certificate renewed");
    let mut first = secure(&program, &authority);
    wait_until(|| (authority.signed() >= 3).then_some(()));
    assert_eq!(ask(&mut first), "IZ", "the session continues after two renewals");
    wait_until(|| {
        (program.lines().iter().filter(|l| l.contains("certificate renewed")).count() >= 3).then_some(())
    });
    let second = secure(&program, &authority);
    let leaf = |tls: &Tls| tls.conn.peer_certificates().expect("certificates")[0].clone();
    assert_ne!(leaf(&first), leaf(&second), "new sessions get the new certificate");
    assert_eq!(authority.faults(), Vec::<String>::new(), "all signatures, nonces and challenges were valid");
}

/// While the authority rejects orders, the stored certificate serves and renewal is retried with growing
/// backoff; it succeeds once orders are accepted.
#[test]
fn rejected_renewal_backs_off_while_the_old_certificate_serves() {
    let challenges = free_port();
    let authority = Authority::start(Duration::from_secs(60), challenges);
    let store = scratch_dir();
    let mut first = start_program(&authority, challenges, Some(&store));
    first.wait_line("certificate renewed");
    first.terminate();
    assert_eq!(first.wait_for_exit(), Some(0));
    // The stored certificate is loaded: the next start needs no order.
    let restarted = start_program(&authority, challenges, Some(&store));
    restarted.wait_line("certificate loaded");
    assert_eq!(ask(&mut secure(&restarted, &authority)), "IZ");
    assert_eq!((authority.signed(), authority.accounts()), (1, 1));
    drop(restarted);
    // Without a stored certificate, and while orders are rejected, no session starts; the program still runs.
    authority.set_rejects_orders(true);
    let mut without_certificate = start_program(&authority, challenges, None);
    wait_until(|| (authority.rejected_orders() >= 4).then_some(()));
    assert!(without_certificate.is_running());
    let mut client = RawClient::open(without_certificate.second.expect("the second front is on"));
    client.send(&startup());
    let message = client.message().expect("an answer");
    assert_eq!(error_fields(&[message])[0], "57P03", "there is no certificate yet");
    let delays: Vec<String> = without_certificate
        .lines()
        .iter()
        .filter_map(|l| l.split("certificate not renewed retry_after_s=").nth(1))
        .filter_map(|rest| rest.split(' ').next())
        .map(str::to_owned)
        .collect();
    assert_eq!(delays[..3], ["0.1", "0.2", "0.4"], "the retry delay doubles up to its maximum");
    authority.set_rejects_orders(false);
    without_certificate.wait_line("certificate renewed");
    assert_eq!(ask(&mut secure(&without_certificate, &authority)), "IZ");
    let mut plain = RawClient::open(without_certificate.second.expect("the second front is on"));
    plain.send(&startup());
    assert_eq!(error_fields(&[plain.message().expect("an answer")])[0], "28000", "sessions must use TLS");
    let _ = std::fs::remove_dir_all(store);
}

/// The old certificate remains valid while its renewal is rejected for a time: sessions still start.
#[test]
fn sessions_start_under_the_old_certificate_while_renewal_is_rejected() {
    let challenges = free_port();
    let authority = Authority::start(Duration::from_secs(45), challenges);
    let program = start_program(&authority, challenges, None);
    program.wait_line("certificate renewed");
    authority.set_rejects_orders(true);
    // Renewal is due after two thirds of the lifetime: after 30 s, with 15 s left.
    wait_until(|| (authority.rejected_orders() >= 2).then_some(()));
    assert_eq!(ask(&mut secure(&program, &authority)), "IZ");
    authority.set_rejects_orders(false);
    wait_until(|| (authority.signed() >= 2).then_some(()));
}

/// While the store's folder cannot be written, the program serves with the certificate in memory. The
/// certificate is saved once the folder can be written, so that the next start needs no order.
#[test]
fn certificate_that_could_not_be_saved_is_saved_later() {
    let challenges = free_port();
    let authority = Authority::start(Duration::from_secs(600), challenges);
    let store = scratch_dir();
    // The program writes temporary files with these names; folders in their place make the writes fail, also
    // for root.
    let blocked = ["certificate.new", "account.new"].map(|name| store.join(name));
    blocked.iter().for_each(|path| std::fs::create_dir(path).expect("folder created"));
    let program = start_program(&authority, challenges, Some(&store));
    program.wait_line("certificate not saved");
    assert_eq!(ask(&mut secure(&program, &authority)), "IZ");
    blocked.iter().for_each(|path| std::fs::remove_dir(path).expect("removed"));
    wait_until(|| store.join("certificate.pem").exists().then_some(()));
    assert_eq!(authority.signed(), 1);
}
