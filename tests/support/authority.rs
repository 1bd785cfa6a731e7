//! A stand-in ACME authority (RFC 8555) on loopback. It verifies signatures, nonces, URLs and challenges,
//! signs certificates with the lifetime that the test chooses, and can reject orders.
#![allow(dead_code)]

use base64::engine::general_purpose::URL_SAFE_NO_PAD as B64;
use base64::Engine;
use rcgen::{BasicConstraints, CertificateParams, CertificateSigningRequestParams, IsCa, Issuer, KeyPair};
use ring::{digest, signature};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivatePkcs8KeyDer, ServerName};
use tokio_rustls::rustls::{self, ClientConnection, RootCertStore, ServerConnection, StreamOwned};

/// A client's TLS connection.
pub type Tls = StreamOwned<ClientConnection, TcpStream>;

/// Reads messages up to ReadyForQuery and returns their types.
pub fn until_ready(tls: &mut Tls) -> String {
    let mut types = String::new();
    while !types.ends_with('Z') {
        let mut head = [0; 5];
        tls.read_exact(&mut head).expect("a message");
        let mut body = vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
        tls.read_exact(&mut body).expect("its body");
        types.push(char::from(head[0]));
    }
    types
}

impl Authority {
    /// Opens TLS as a PostgreSQL client that trusts only this authority's root and expects a certificate for
    /// `name`, sends `startup`, and reads up to ReadyForQuery.
    pub fn secure(&self, mut stream: TcpStream, name: &'static str, startup: &[u8]) -> Tls {
        stream.write_all(&[&8u32.to_be_bytes()[..], &80_877_103u32.to_be_bytes()].concat()).expect("written");
        let mut reply = [0];
        stream.read_exact(&mut reply).expect("an answer");
        assert_eq!(reply, *b"S", "TLS is offered");
        let mut roots = RootCertStore::empty();
        roots.add(self.root_der.clone()).expect("a root");
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = rustls::ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .expect("versions")
            .with_root_certificates(roots)
            .with_no_client_auth();
        let name = ServerName::try_from(name).expect("a name");
        let session = ClientConnection::new(Arc::new(config), name).expect("a session");
        let mut tls = StreamOwned::new(session, stream);
        tls.write_all(startup).expect("the certificate is valid");
        until_ready(&mut tls);
        tls
    }
}

#[derive(Default)]
struct State {
    nonces: BTreeSet<String>,
    /// Number of nonces issued.
    issued_nonces: u64,
    /// Account keys by account URL.
    accounts: BTreeMap<String, Value>,
    /// DNS names, status and certificate (PEM, empty until it is signed) of each order.
    orders: Vec<(Vec<String>, &'static str, String)>,
    rejects_orders: bool,
    rejected_orders: usize,
    faults: Vec<String>,
}

pub struct Authority {
    /// URL of the ACME directory.
    pub directory: String,
    /// Root certificate, as PEM, which signs the certificate of the authority's own endpoint and those of the
    /// orders.
    pub root: String,
    pub root_der: CertificateDer<'static>,
    state: Arc<Mutex<State>>,
}

struct Shared {
    base: String,
    lifetime: Duration,
    challenges: SocketAddr,
    issuer: Issuer<'static, KeyPair>,
    state: Arc<Mutex<State>>,
}

impl Authority {
    /// Starts an authority whose certificates have this lifetime, and which validates http-01 challenges at
    /// `challenges`.
    pub fn start(lifetime: Duration, challenges: SocketAddr) -> Authority {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(Vec::new()).expect("parameters");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let root = params.self_signed(&key).expect("a root");
        let issuer = Issuer::new(params, key);
        let own_key = KeyPair::generate().expect("a key");
        let own = CertificateParams::new(vec!["127.0.0.1".to_owned()]).expect("parameters");
        let own = own.signed_by(&own_key, &issuer).expect("a certificate");
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = rustls::ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .expect("versions")
            .with_no_client_auth()
            .with_single_cert(
                vec![own.der().clone()],
                PrivatePkcs8KeyDer::from(own_key.serialize_der()).into(),
            )
            .expect("a configuration");
        let (config, state) = (Arc::new(config), Arc::<Mutex<State>>::default());
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let base = format!("https://{}", listener.local_addr().expect("an address"));
        let shared =
            Arc::new(Shared { base: base.clone(), lifetime, challenges, issuer, state: Arc::clone(&state) });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shared, config) = (Arc::clone(&shared), Arc::clone(&config));
                thread::spawn(move || {
                    let session = ServerConnection::new(config).expect("a session");
                    serve(&shared, StreamOwned::new(session, stream));
                });
            }
        });
        Authority {
            directory: format!("{base}/directory"),
            root: root.pem(),
            root_der: root.der().clone(),
            state,
        }
    }

    /// Sets whether new orders are rejected, with status 429 (`rateLimited`).
    pub fn set_rejects_orders(&self, rejects_orders: bool) {
        self.state.lock().expect("unpoisoned").rejects_orders = rejects_orders;
    }
    /// Number of orders rejected so far.
    pub fn rejected_orders(&self) -> usize {
        self.state.lock().expect("unpoisoned").rejected_orders
    }
    /// Number of certificates signed so far.
    pub fn signed(&self) -> usize {
        self.state.lock().expect("unpoisoned").orders.iter().filter(|o| o.1 == "valid").count()
    }
    pub fn accounts(&self) -> usize {
        self.state.lock().expect("unpoisoned").accounts.len()
    }
    /// Reasons for which requests were rejected as invalid.
    pub fn faults(&self) -> Vec<String> {
        self.state.lock().expect("unpoisoned").faults.clone()
    }
}

/// HTTP status, `Location` header and body of a response.
type Reply = (u16, Option<String>, Value);

#[expect(clippy::too_many_lines, reason = "a stand-in answers each step of its protocol in one place")]
fn serve(shared: &Shared, mut stream: StreamOwned<ServerConnection, TcpStream>) {
    let mut input = BufReader::new(&mut stream);
    let mut line = String::new();
    if input.read_line(&mut line).is_err() {
        return;
    }
    let mut words = line.split(' ').map(str::to_owned);
    let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let mut length = 0;
    for header in input.by_ref().lines().map_while(Result::ok).take_while(|l| !l.is_empty()) {
        let header = header.to_ascii_lowercase();
        length =
            header.strip_prefix("content-length:").map_or(length, |n| n.trim().parse().expect("a length"));
    }
    let mut body = vec![0; length];
    if input.read_exact(&mut body).is_err() {
        return;
    }
    let (status, location, body) = match (method.as_str(), path.as_str()) {
        (_, "/directory") => {
            let url = |p: &str| format!("{}/{p}", shared.base);
            let directory = json!({"newNonce": url("nonce"), "newAccount": url("account"), "newOrder": url("order"),
                "revokeCert": url("revoke"), "keyChange": url("change")});
            (200, None, directory)
        }
        (_, "/nonce") => (200, None, Value::Null),
        ("POST", path) => handle_signed(shared, path, &body).unwrap_or_else(|(kind, detail)| {
            shared.state.lock().expect("unpoisoned").faults.push(detail.clone());
            (400, None, json!({"type": format!("urn:ietf:params:acme:error:{kind}"), "detail": detail}))
        }),
        _ => (404, None, Value::Null),
    };
    let nonce = {
        let mut state = shared.state.lock().expect("unpoisoned");
        state.issued_nonces += 1;
        let nonce = B64.encode(format!("nonce-{}", state.issued_nonces));
        state.nonces.insert(nonce.clone());
        nonce
    };
    let (kind, text) = match &body {
        Value::String(pem) => ("application/pem-certificate-chain", pem.clone()),
        Value::Null => ("text/plain", String::new()),
        other if status >= 400 => ("application/problem+json", other.to_string()),
        other => ("application/json", other.to_string()),
    };
    let location = location.map_or(String::new(), |l| format!("Location: {l}\r\n"));
    let text = if method == "HEAD" { String::new() } else { text };
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nReplay-Nonce: {nonce}\r\n{location}\
         Connection: close\r\nContent-Length: {}\r\n\r\n",
        text.len()
    );
    let _ = stream.write_all((head + &text).as_bytes());
    stream.conn.send_close_notify();
    let _ = stream.flush();
}

fn decoded(value: &Value) -> Result<Vec<u8>, (&'static str, String)> {
    B64.decode(value.as_str().unwrap_or("")).map_err(|_| ("malformed", "a part is not base64url".into()))
}

/// Verifies the JWS in `body` and carries out its request. An error holds the last part of the ACME error
/// type and a detail text.
#[expect(clippy::too_many_lines, reason = "a stand-in answers each step of its protocol in one place")]
fn handle_signed(shared: &Shared, path: &str, body: &[u8]) -> Result<Reply, (&'static str, String)> {
    let problem = |kind: &'static str, detail: &str| (kind, detail.to_owned());
    let jws: Value =
        serde_json::from_slice(body).map_err(|_| problem("malformed", "the body is not JSON"))?;
    let head: Value = serde_json::from_slice(&decoded(&jws["protected"])?)
        .map_err(|_| problem("malformed", "the protected header is not JSON"))?;
    let payload = decoded(&jws["payload"])?;
    let payload: Value = serde_json::from_slice(&payload).unwrap_or(Value::Null);
    let mut state = shared.state.lock().expect("unpoisoned");
    let key = match (head["kid"].as_str(), path) {
        (Some(kid), _) => {
            state.accounts.get(kid).cloned().ok_or_else(|| problem("accountDoesNotExist", "no account"))?
        }
        (None, "/account") => head["jwk"].clone(),
        _ => return Err(problem("malformed", "neither kid nor jwk")),
    };
    let point = [vec![4], decoded(&key["x"])?, decoded(&key["y"])?].concat();
    let message =
        format!("{}.{}", jws["protected"].as_str().unwrap_or(""), jws["payload"].as_str().unwrap_or(""));
    signature::UnparsedPublicKey::new(&signature::ECDSA_P256_SHA256_FIXED, point)
        .verify(message.as_bytes(), &decoded(&jws["signature"])?)
        .map_err(|_| problem("malformed", "the signature is wrong"))?;
    if head["alg"] != "ES256" || head["url"] != format!("{}{path}", shared.base) {
        return Err(problem("unauthorized", "the header names another algorithm or URL"));
    }
    if !state.nonces.remove(head["nonce"].as_str().unwrap_or("")) {
        return Err(problem("badNonce", "the nonce is not fresh"));
    }
    let url = |p: String| format!("{}/{p}", shared.base);
    let n = path.rsplit('/').next().and_then(|n| n.parse::<usize>().ok());
    let order = |state: &State, n: usize| {
        let (names, status, _) = &state.orders[n];
        let ids: Vec<Value> = names.iter().map(|v| json!({"type": "dns", "value": v})).collect();
        let certificate = (*status == "valid").then(|| url(format!("certificate/{n}")));
        json!({"status": status, "identifiers": ids, "authorizations": [url(format!("authorization/{n}"))],
            "finalize": url(format!("finalize/{n}")), "certificate": certificate})
    };
    let resource = path.trim_start_matches('/').split('/').next().unwrap_or("");
    Ok(match (resource, n.filter(|n| *n < state.orders.len())) {
        ("account", _) => {
            let kid = url(format!("account/{}", state.accounts.len()));
            state.accounts.insert(kid.clone(), key);
            (201, Some(kid), json!({"status": "valid"}))
        }
        ("order", None) => {
            if state.rejects_orders {
                state.rejected_orders += 1;
                let kind = "urn:ietf:params:acme:error:rateLimited";
                return Ok((429, None, json!({"type": kind, "detail": "too many orders"})));
            }
            let names = payload["identifiers"].as_array().cloned().unwrap_or_default();
            let names = names.iter().filter_map(|i| Some(i["value"].as_str()?.to_owned())).collect();
            state.orders.push((names, "pending", String::new()));
            let n = state.orders.len() - 1;
            (201, Some(url(format!("order/{n}"))), order(&state, n))
        }
        ("order", Some(n)) => (200, None, order(&state, n)),
        ("authorization", Some(n)) => {
            let status = if state.orders[n].1 == "pending" { "pending" } else { "valid" };
            let challenge = json!({"type": "http-01", "url": url(format!("challenge/{n}")), "token": token(n),
                "status": status});
            let id = json!({"type": "dns", "value": state.orders[n].0[0]});
            (200, None, json!({"identifier": id, "status": status, "challenges": [challenge]}))
        }
        ("challenge", Some(n)) => {
            let (crv, x, y) = (key["crv"].clone(), key["x"].clone(), key["y"].clone());
            let canonical = format!(r#"{{"crv":{crv},"kty":"EC","x":{x},"y":{y}}}"#);
            let thumbprint = B64.encode(digest::digest(&digest::SHA256, canonical.as_bytes()));
            let response = fetch_challenge(shared.challenges, &token(n));
            if response.as_deref() != Some(&format!("{}.{thumbprint}", token(n))) {
                state.orders[n].1 = "invalid";
                return Err(("unauthorized", format!("the challenge was answered with {response:?}")));
            }
            state.orders[n].1 = "ready";
            (
                200,
                None,
                json!({"type": "http-01", "url": url(format!("challenge/{n}")), "token": token(n),
                "status": "valid"}),
            )
        }
        ("finalize", Some(n)) => {
            if state.orders[n].1 != "ready" {
                return Err(problem("orderNotReady", "no challenge was validated"));
            }
            let der = decoded(&payload["csr"])?;
            let csr = CertificateSigningRequestParams::from_der(&der.into());
            let mut csr = csr.map_err(|_| problem("badCSR", "the request can't be parsed"))?;
            let requested: Vec<String> = csr
                .params
                .subject_alt_names
                .iter()
                .filter_map(|n| match n {
                    rcgen::SanType::DnsName(name) => Some(name.as_str().to_owned()),
                    _ => None,
                })
                .collect();
            if requested != state.orders[n].0 {
                return Err(("badCSR", format!("the request names {requested:?}")));
            }
            csr.params.not_before = time::OffsetDateTime::now_utc() - Duration::from_secs(1);
            csr.params.not_after = time::OffsetDateTime::now_utc() + shared.lifetime;
            let signed = csr
                .signed_by(&shared.issuer)
                .map_err(|_| problem("badCSR", "the request can't be signed"))?;
            (state.orders[n].1, state.orders[n].2) = ("valid", signed.pem());
            (200, None, order(&state, n))
        }
        ("certificate", Some(n)) => (200, None, Value::String(state.orders[n].2.clone())),
        _ => (404, None, json!({"type": "urn:ietf:params:acme:error:malformed", "detail": "no such thing"})),
    })
}

fn token(n: usize) -> String {
    B64.encode(format!("token-number-{n}"))
}

/// Fetches the key authorization of an http-01 challenge; `None` without a response of status 200.
fn fetch_challenge(address: SocketAddr, token: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    write!(stream, "GET /.well-known/acme-challenge/{token} HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    text.split_once("\r\n\r\n")
        .filter(|(head, _)| head.starts_with("HTTP/1.1 200"))
        .map(|(_, b)| b.to_owned())
}
