//! A UDP relay between fronts, which can be cut.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Relays datagrams to `target`, and its answers back, until cut. Each sender gets a
/// socket of its own towards the target.
pub fn start(target: SocketAddr, is_cut: &Arc<AtomicBool>) -> SocketAddr {
    let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").expect("relay port"));
    let address = socket.local_addr().expect("relay port");
    let is_cut = Arc::clone(is_cut);
    let senders: Arc<Mutex<HashMap<SocketAddr, Arc<UdpSocket>>>> = Arc::default();
    thread::spawn(move || {
        let mut buffer = [0; 65_536];
        loop {
            let Ok((count, from)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            if is_cut.load(Ordering::Relaxed) {
                continue;
            }
            let towards = senders.lock().expect("relay").get(&from).cloned();
            let towards = towards.unwrap_or_else(|| {
                let towards = Arc::new(UdpSocket::bind("127.0.0.1:0").expect("relay port"));
                senders
                    .lock()
                    .expect("relay")
                    .insert(from, Arc::clone(&towards));
                let (back, socket, is_cut) = (
                    Arc::clone(&towards),
                    Arc::clone(&socket),
                    Arc::clone(&is_cut),
                );
                thread::spawn(move || {
                    let mut buffer = [0; 65_536];
                    loop {
                        let Ok((count, _)) = back.recv_from(&mut buffer) else {
                            continue;
                        };
                        if !is_cut.load(Ordering::Relaxed) {
                            let _ = socket.send_to(&buffer[..count], from);
                        }
                    }
                });
                towards
            });
            let _ = towards.send_to(&buffer[..count], target);
        }
    });
    address
}
