"""Clients that send bodies of legal size in chunks and stop before the end.

    python3 hostile.py IP:PORT HOST PATH COUNT CHUNK SIZE

COUNT clients send a body of SIZE bytes in chunks of CHUNK bytes each, without
the last chunk, and stay open. One whose connection is closed comes again.
"""

import asyncio
import sys

PAUSE = 0.25  # seconds before a client comes again
BLOCK = 65536  # bytes that one call sends


async def play(ip, port, head, block, blocks):
    while True:
        writer = None
        try:
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(head)
            for _ in range(blocks):
                writer.write(block)
                await writer.drain()
            await reader.read()
        except OSError:
            pass
        finally:
            if writer is not None:
                writer.transport.abort()
        await asyncio.sleep(PAUSE)


async def main():
    address, host, path, count, chunk, size = sys.argv[1:]
    ip, port = address.split(":")
    framed = b"%x\r\n%s\r\n" % (int(chunk), b"x" * int(chunk))
    block = framed * max(1, BLOCK // len(framed))
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {host}\r\n"
        "Primrosemill-Request-Id: hostile\r\n"
        "Primrosemill-Request-Deadline: 2000\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()
    payload = int(chunk) * (len(block) // len(framed))
    blocks = int(size) // payload
    await asyncio.gather(
        *(play(ip, int(port), head, block, blocks) for _ in range(int(count)))
    )


asyncio.run(main())
