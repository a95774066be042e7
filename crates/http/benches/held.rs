//! Bytes of heap that a connection holds, by a counting allocator: `cargo bench -p
//! copperfield-http`. Sockets are the system's and are not counted.

use std::alloc::{GlobalAlloc, Layout, System};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicIsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use copperfield_http::{ClientClass, MemoryBudget, Pool, PoolConfig, ServerConfig, serve};
use http::{Method, Response};

struct Counting;

static HELD: AtomicIsize = AtomicIsize::new(0);

// SAFETY: every call goes on to the system's allocator unchanged; only sizes are noted.
#[expect(
    unsafe_code,
    reason = "an allocator that counts can only be written so"
)]
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size() as isize, Ordering::Relaxed);
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

const CONNECTIONS: usize = 1000;

fn each(since: isize) -> isize {
    // The server has seen it when its answer is read; give it a moment to let go.
    std::thread::sleep(Duration::from_millis(200));
    (HELD.load(Ordering::Relaxed) - since) / CONNECTIONS as isize
}

fn ask(stream: &mut TcpStream, body: usize, buffer: &mut [u8]) {
    let head = format!("POST /hello HTTP/1.1\r\ncontent-length: {body}\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("sent");
    stream.write_all(&buffer[..body]).expect("sent");
    assert!(stream.read(buffer).expect("answered") > 0);
}

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("a runtime");
    let config = ServerConfig {
        max_connections: 4 * CONNECTIONS,
        idle_timeout: Duration::from_secs(60),
        request_timeout: Duration::from_secs(10),
        max_body: 64 * 1024,
        reserved_fraction: 4,
        memory_budget: MemoryBudget::new(64 << 20),
        client_class: |_| ClientClass::Worker,
        error_response: |_, _| Response::new(Bytes::new()),
    };
    let port = runtime.block_on(async {
        let any = (Ipv4Addr::UNSPECIFIED, 0);
        let listener = tokio::net::TcpListener::bind(any).await.expect("a port");
        let port = listener.local_addr().expect("bound").port();
        let answer = |_| async { Response::new(Bytes::from_static(b"{}")) };
        tokio::spawn(serve(listener, config, answer));
        port
    });
    let mut buffer = vec![b'x'; 64 * 1024];
    let mut streams = Vec::with_capacity(CONNECTIONS);
    let before = HELD.load(Ordering::Relaxed);
    for _ in 0..CONNECTIONS {
        let stream = TcpStream::connect((Ipv4Addr::LOCALHOST, port)).expect("accepted");
        streams.push(stream);
    }
    println!(
        "server, a connection that has sent nothing: {} bytes",
        each(before)
    );
    for body in [100, 20_000, 64 * 1024] {
        for stream in &mut streams {
            ask(stream, body, &mut buffer);
        }
        println!(
            "server, idle after a body of {body} bytes: {} bytes",
            each(before)
        );
    }
    drop(streams);
    println!(
        "server, after they have closed: {} bytes each",
        each(before)
    );

    let pool = Pool::new(PoolConfig {
        connect_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(60),
        max_idle_per_address: 4,
        max_body: 1 << 20,
    });
    let before = HELD.load(Ordering::Relaxed);
    runtime.block_on(async {
        for i in 0..CONNECTIONS {
            let host = Ipv4Addr::new(127, 0, (i / 250) as u8, (i % 250 + 1) as u8);
            let to = SocketAddr::from((host, port));
            let reply = pool.call(&Method::POST, to, "/orders", b"{}").await;
            assert_eq!(reply.expect("answered").status, 200);
        }
    });
    println!("both sides, idle in the pool: {} bytes", each(before));
}
