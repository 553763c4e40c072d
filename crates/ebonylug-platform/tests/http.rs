//! Tests of the HTTP client with sockets that refuse or close connections. The protocol itself is
//! tested with the fake in `ebonylug-standin`.

use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

use ebonylug_platform::{Error, HttpPlatform, InstanceList, ObjectStore, Table, Transaction};

/// Guards against reporting a refused connection as [`Error::Unknown`].
#[tokio::test]
async fn refused_connection_is_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = HttpPlatform::new(listener.local_addr().unwrap());
    drop(listener);
    let unavailable = Error::Unavailable;
    assert_eq!(
        client.transact(Transaction::new()).await,
        Err(unavailable.clone())
    );
    assert_eq!(client.get("a").await, Err(unavailable.clone()));
    assert_eq!(client.put("x".into()).await, Err(unavailable.clone()));
    assert_eq!(client.instances().await, Err(unavailable));
}

/// Guards against reporting a write that was sent as not applied. The connection closes before or
/// within the response.
#[tokio::test]
async fn broken_connection_is_unknown_for_writes() {
    let responses: [&[u8]; 3] = [
        b"",
        b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{\"ver",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\n{\"ver\r\n",
    ];
    for response in responses {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let client =
            HttpPlatform::new(listener.local_addr().unwrap()).timeout(Duration::from_secs(20));
        std::thread::spawn(move || {
            for _ in 0..2 {
                let (mut stream, _) = listener.accept().unwrap();
                // One read returns the complete request, since it is short.
                let _ = stream.read(&mut [0; 4096]).unwrap();
                std::io::Write::write_all(&mut stream, response).unwrap();
            }
        });
        assert_eq!(
            client.transact(Transaction::new()).await,
            Err(Error::Unknown)
        );
        assert_eq!(client.get("a").await, Err(Error::Unavailable));
    }
}

/// Guards against futures that are not `Send`, which the control path requires.
#[test]
fn futures_are_send() {
    fn check(_: impl Send) {}
    let client = HttpPlatform::new("127.0.0.1:9".parse().unwrap());
    check(client.transact(Transaction::new()));
    check(client.get("a"));
    check(client.scan("a", 1));
    check(client.put("x".into()));
    check(client.instances());
}
