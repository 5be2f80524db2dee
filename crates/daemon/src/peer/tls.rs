//! TLS configuration for traffic between daemons.
//!
//! Both sides present a certificate issued by the common authority; a peer
//! without such a certificate is refused during the handshake.

use crate::settings::TlsSettings;
use derive_more::Display;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, IdleTimeout, ServerConfig, TransportConfig, VarInt};
use rustls::RootCertStore;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::server::WebPkiClientVerifier;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

/// The subject name in every daemon's certificate.
pub const PEER_NAME: &str = "camphorway-daemon";
const PROTOCOL: &[u8] = b"camphorway/2";
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Streams that a peer may have open at once; each takes memory from the start.
const MAX_BIDI_STREAMS: u32 = 4_096;
/// First datagrams of peers that wait to be accepted; further ones are refused.
const MAX_INCOMING: usize = 1_024;
/// Assumed round trip until one is measured. A lost first packet is resent after
/// three times as long, and the interval doubles with each further attempt.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(25);

/// An error in certificates or keys.
#[derive(Debug, Display)]
pub enum TlsError {
    /// A file can't be read as PEM.
    #[display("{}: not readable as PEM: {cause}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The parser's error.
        cause: rustls::pki_types::pem::Error,
    },
    /// A certificate or key is not usable.
    #[display("certificate or key refused: {_0}")]
    Refused(String),
}

impl std::error::Error for TlsError {}

/// The QUIC configuration of both sides of a connection.
#[derive(Debug)]
pub struct TlsPair {
    /// For accepted connections.
    pub server: ServerConfig,
    /// For connections this process makes.
    pub client: ClientConfig,
}

impl TlsPair {
    /// Reads the certificate and key files named in `settings`.
    ///
    /// # Errors
    /// Returns the file that can't be read, or why its contents are refused.
    pub fn read(settings: &TlsSettings) -> Result<Self, TlsError> {
        let mut roots = RootCertStore::empty();
        for authority in read_certificates(&settings.ca_file)? {
            roots.add(authority).map_err(refused)?;
        }
        let roots = Arc::new(roots);
        let chain = read_certificates(&settings.certificate_file)?;
        let key = || {
            PrivateKeyDer::from_pem_file(&settings.key_file).map_err(|cause| TlsError::File {
                path: settings.key_file.clone(),
                cause,
            })
        };
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider))
                .build()
                .map_err(refused)?;
        let server = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(refused)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key()?)
            .map_err(refused)?;
        let client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(refused)?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key()?)
            .map_err(refused)?;
        Self::new(server, client, MAX_BIDI_STREAMS)
    }

    /// Converts the TLS configuration of both sides for QUIC, for connections on which
    /// each side may have `max_streams` open at once.
    ///
    /// # Errors
    /// Returns why a side can't be used with QUIC.
    pub fn new(
        mut server: rustls::ServerConfig,
        mut client: rustls::ClientConfig,
        max_streams: u32,
    ) -> Result<Self, TlsError> {
        server.alpn_protocols = vec![PROTOCOL.to_vec()];
        client.alpn_protocols = vec![PROTOCOL.to_vec()];
        let server = QuicServerConfig::try_from(server).map_err(refused)?;
        let client = QuicClientConfig::try_from(client).map_err(refused)?;
        let transport = Arc::new(transport(max_streams));
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(Arc::clone(&transport));
        server.max_incoming(MAX_INCOMING);
        let mut client = ClientConfig::new(Arc::new(client));
        client.transport_config(transport);
        Ok(Self { server, client })
    }
}

fn transport(max_streams: u32) -> TransportConfig {
    let mut transport = TransportConfig::default();
    transport.initial_rtt(INITIAL_ROUND_TRIP);
    transport.max_idle_timeout(IdleTimeout::try_from(IDLE_TIMEOUT).ok());
    transport.max_concurrent_bidi_streams(VarInt::from_u32(max_streams));
    transport
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let file = |cause| TlsError::File {
        path: path.to_owned(),
        cause,
    };
    CertificateDer::pem_file_iter(path)
        .map_err(file)?
        .collect::<Result<_, _>>()
        .map_err(file)
}

pub(super) fn refused<Cause>(cause: Cause) -> TlsError
where
    Cause: std::fmt::Display,
{
    TlsError::Refused(cause.to_string())
}
