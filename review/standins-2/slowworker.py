"""A worker in a process of its own. Its answers take SECONDS, come in parts, and have neither a
length nor chunks: they end with their connection. Writes what it runs to standard output.

Usage: slowworker.py IDENTITY SECONDS PORT"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import lab  # noqa: E402

PARTS = 30


def say(text):
    print(text, flush=True)


def part_of(request, number):
    """One part of the answer: a line of a report, or an event of a stream."""
    if "/plan/" in request.line:
        return b"id: %d\ndata: word\n\n" % number
    return b"delivery %05d, maize silage, 12.40 t\n" % number


def whole_body(line):
    request = lab.Message(line, [])
    return b"".join(part_of(request, number) for number in range(1, PARTS + 1))


async def main(identity, seconds, port):
    async def serve(reader, writer):
        try:
            request = await lab.read_request(reader)
            expected = request.get("X-Lavendertally-Expect-Instance")
            if expected not in (None, identity):
                writer.write(lab.render(421, [("X-Lavendertally-Instance-Id", identity)]))
                await writer.drain()
                return
            request_id = request.get("X-Lavendertally-Request-Id")
            say(f"runs {request_id}")
            kind = "text/event-stream" if "/plan/" in request.line else "text/plain"
            writer.write(lab.render(200, [
                ("X-Lavendertally-Request-Id", request_id),
                ("X-Lavendertally-Response-Signature", "sig." + identity),
                ("Content-Type", kind), ("Connection", "close")], framed=False))
            for number in range(1, PARTS + 1):
                await asyncio.sleep(seconds / PARTS)
                writer.write(part_of(request, number))
                await writer.drain()
            say(f"ends {request_id}")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", port)
    say("listens 127.0.0.1:%d" % server.sockets[0].getsockname()[1])
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], float(sys.argv[2]), int(sys.argv[3])))
