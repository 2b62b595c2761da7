"""A runner in a process of its own, whose answers take seconds and have neither length nor chunks.

It prints its address, and then what it runs. It writes an answer in parts, one after another; the
answer ends with its channel. A request to a path that begins with /recap/ is answered by a stream,
which goes on after the consumer's last event.
"""

import asyncio
import sys

import standins as s

PARTS = 30
PART_BYTES = 10_000
PART_SECONDS = 0.1


class PrintedRecord:
    """Prints lines for the record."""

    def add(self, text):
        """Print one line."""
        print(text, flush=True)


class SlowRunner(s.Runner):
    """The runner."""

    async def serve(self, reader, writer):
        """Serve one request, and close the channel after its answer."""
        head = await s.read_head(reader)
        if head is None:
            return
        line, headers = head
        attempt = headers.get("x-attempt-id", "")
        if headers.get("x-target-instance", self.name) != self.name:
            writer.write(s.make_answer(421, b"", {"x-attempt-id": attempt}))
            await writer.drain()
            return
        streams = line.split(" ")[1].startswith("/recap/")
        self.record.add(f"runner {self.name} runs {attempt}: {line}")
        content = "text/event-stream" if streams else "application/octet-stream"
        writer.write(
            f"HTTP/1.1 200 OK\r\ncontent-type: {content}\r\nx-attempt-id: {attempt}\r\n"
            f"x-response-signature: {self.name}.{attempt}\r\nconnection: close\r\n\r\n".encode()
        )
        first = int(headers.get("last-event-id") or 0) + 1 if streams else 1
        for number in range(first, PARTS + 1):
            await asyncio.sleep(PART_SECONDS)
            part = b"id: %d\ndata: event %d\n\n" % (number, number)
            writer.write(part if streams else b"x" * PART_BYTES)
            await writer.drain()
        self.record.add(f"runner {self.name} has answered {attempt} whole")


async def main():
    """Run until the process is ended."""
    name, service = sys.argv[1:3]
    runner = await SlowRunner(name, service, PrintedRecord()).start()
    print(runner.address, flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
