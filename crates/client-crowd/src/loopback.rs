use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use tokio::net::TcpListener;

/// Number of addresses of one process before another process with a neighbouring id has the same ones.
const ADDRESSES_PER_PROCESS: u32 = 64;

/// Number of the next address of this process.
static NEXT: AtomicU32 = AtomicU32::new(0);

/// Returns a loopback address whose port is free, for a program that takes no port 0. Each call returns
/// another host of 127.0.0.0/8. On 127.0.0.1, an outgoing connection or another test could take the port
/// before the program listens.
///
/// # Errors
/// When no port is free.
pub async fn free_address() -> io::Result<SocketAddr> {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let number = std::process::id().wrapping_mul(ADDRESSES_PER_PROCESS).wrapping_add(number);
    let [_, high, middle, low] = number.to_be_bytes();
    // 127.0.0.0/16 and 127.255.0.0/16 are left out, which have 127.0.0.1 and the broadcast address.
    let host = Ipv4Addr::new(127, high % 254 + 1, middle, low);
    TcpListener::bind((host, 0)).await?.local_addr()
}

/// Returns loopback addresses whose ports are free; see [`free_address`].
///
/// # Panics
/// When no port is free.
pub async fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let mut addresses = Vec::new();
    for _ in 0..N {
        addresses.push(free_address().await.expect("a free port"));
    }
    std::array::from_fn(|number| addresses[number])
}
