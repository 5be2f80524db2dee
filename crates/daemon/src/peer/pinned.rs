//! Mutual authentication of daemons by pinned raw public keys, without key files.
//!
//! Each process generates a key pair at its start and publishes the public key
//! to all peers. Both sides of a connection present raw public keys (RFC 7250)
//! and accept only published ones. These don't expire, so no clock is needed.

use crate::peer::tls::{TlsError, TlsPair, refused};
use crate::sync::lock;
use camphorway_model::PeerKey;
use rustls::client::AlwaysResolvesClientRawPublicKeys;
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::{CryptoProvider, ring, verify_tls13_signature_with_raw_key};
use rustls::pki_types::{
    CertificateDer, PrivateKeyDer, ServerName, SubjectPublicKeyInfoDer, UnixTime,
};
use rustls::server::AlwaysResolvesServerRawPublicKeys;
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::sign::CertifiedKey;
use rustls::{DigitallySignedStruct, DistinguishedName, Error, SignatureScheme};
use std::collections::HashSet;
use std::sync::{Arc, Mutex};

/// Streams that a front may have open to another one at once: a question for each feed, and
/// requests for credit. A front has connections to many others.
const MAX_STREAMS: u32 = 256;

/// The keys of the peers that may connect.
#[derive(Debug, Default)]
pub struct PinnedKeys {
    allowed: Mutex<HashSet<PeerKey>>,
}

impl PinnedKeys {
    /// Replaces the set of accepted keys.
    pub fn replace(&self, keys: HashSet<PeerKey>) {
        *lock(&self.allowed) = keys;
    }

    fn check(&self, key: &[u8]) -> Result<(), Error> {
        if lock(&self.allowed).contains(&PeerKey::from_der(key)) {
            Ok(())
        } else {
            // The peer receives this text as the reason of the closed connection.
            Err(Error::General(
                "the peer's key was not published".to_owned(),
            ))
        }
    }
}

/// Generates a key pair; returns its public key and the TLS configuration of both
/// sides.
///
/// # Errors
/// Returns why the key or the configuration could not be created.
pub fn new_identity(pinned: &Arc<PinnedKeys>) -> Result<(PeerKey, TlsPair), TlsError> {
    let pair = rcgen::KeyPair::generate().map_err(refused)?;
    let private = PrivateKeyDer::try_from(pair.serialize_der()).map_err(refused)?;
    let provider = Arc::new(ring::default_provider());
    let signer = provider
        .key_provider
        .load_private_key(private)
        .map_err(refused)?;
    let public = signer
        .public_key()
        .ok_or_else(|| refused("the signer has no public key"))?
        .into_owned();
    let own = PeerKey::from_der(&public);
    let chain = vec![CertificateDer::from(public.to_vec())];
    let certified = Arc::new(CertifiedKey::new(chain, signer));
    let verifier = Arc::new(PinnedVerifier {
        pinned: Arc::clone(pinned),
        provider: Arc::clone(&provider),
    });
    let server = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(refused)?
        .with_client_cert_verifier(Arc::clone(&verifier) as Arc<dyn ClientCertVerifier>)
        .with_cert_resolver(Arc::new(AlwaysResolvesServerRawPublicKeys::new(
            Arc::clone(&certified),
        )));
    let client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(refused)?
        .dangerous()
        .with_custom_certificate_verifier(verifier)
        .with_client_cert_resolver(Arc::new(AlwaysResolvesClientRawPublicKeys::new(certified)));
    Ok((own, TlsPair::new(server, client, MAX_STREAMS)?))
}

/// Accepts published raw public keys on either side.
#[derive(Debug)]
struct PinnedVerifier {
    pinned: Arc<PinnedKeys>,
    provider: Arc<CryptoProvider>,
}

impl PinnedVerifier {
    fn verify_signature(
        &self,
        message: &[u8],
        key: &CertificateDer<'_>,
        signature: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        verify_tls13_signature_with_raw_key(
            message,
            &SubjectPublicKeyInfoDer::from(key.as_ref()),
            signature,
            &self.provider.signature_verification_algorithms,
        )
    }

    fn signature_schemes(&self) -> Vec<SignatureScheme> {
        let algorithms = &self.provider.signature_verification_algorithms;
        algorithms.supported_schemes()
    }
}

/// The methods that both verifier traits require with the same signatures. The
/// traits have no common supertrait, so the bodies can't be shared otherwise.
macro_rules! raw_key_checks {
    () => {
        fn verify_tls12_signature(
            &self,
            _message: &[u8],
            _cert: &CertificateDer<'_>,
            _dss: &DigitallySignedStruct,
        ) -> Result<HandshakeSignatureValid, Error> {
            Err(Error::General("TLS 1.2 is not used".to_owned()))
        }

        fn verify_tls13_signature(
            &self,
            message: &[u8],
            cert: &CertificateDer<'_>,
            dss: &DigitallySignedStruct,
        ) -> Result<HandshakeSignatureValid, Error> {
            self.verify_signature(message, cert, dss)
        }

        fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
            self.signature_schemes()
        }

        fn requires_raw_public_keys(&self) -> bool {
            true
        }
    };
}

impl ServerCertVerifier for PinnedVerifier {
    fn verify_server_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _server_name: &ServerName<'_>,
        _ocsp_response: &[u8],
        _now: UnixTime,
    ) -> Result<ServerCertVerified, Error> {
        self.pinned.check(end_entity)?;
        Ok(ServerCertVerified::assertion())
    }

    raw_key_checks!();
}

impl ClientCertVerifier for PinnedVerifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        end_entity: &CertificateDer<'_>,
        _intermediates: &[CertificateDer<'_>],
        _now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        self.pinned.check(end_entity)?;
        Ok(ClientCertVerified::assertion())
    }

    raw_key_checks!();
}
