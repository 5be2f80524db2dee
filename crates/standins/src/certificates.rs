//! Test certificates for traffic between daemons.

use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};
use std::io;
use std::path::Path;

const PEER_NAME: &str = "camphorway-daemon";

/// Writes `ca.pem`, and `daemon.pem` and `daemon.key` issued by it, into `directory`.
///
/// # Errors
/// Returns an error if a certificate can't be generated or a file can't be written.
pub fn write(directory: &Path) -> io::Result<()> {
    let mut authority = CertificateParams::new(Vec::new()).map_err(io::Error::other)?;
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let key = KeyPair::generate().map_err(io::Error::other)?;
    let issuer = CertifiedIssuer::self_signed(authority, key).map_err(io::Error::other)?;
    let daemon_key = KeyPair::generate().map_err(io::Error::other)?;
    let names = vec![PEER_NAME.to_owned()];
    let daemon = CertificateParams::new(names).map_err(io::Error::other)?;
    let daemon = daemon
        .signed_by(&daemon_key, &issuer)
        .map_err(io::Error::other)?;
    std::fs::write(directory.join("ca.pem"), issuer.pem())?;
    std::fs::write(directory.join("daemon.pem"), daemon.pem())?;
    std::fs::write(directory.join("daemon.key"), daemon_key.serialize_pem())
}
