#pragma once

namespace lavendertally::admission {

/// Why a request gets no place at a service.
enum class PlaceRefusal
{
    None,
    /// The work ahead of it leaves too little time.
    WouldBeLate,
    /// The queue is full of requests that go first.
    QueueFull,
    /// It waited, and requests that go first have taken its place in the queue.
    GaveWay,
    /// It waited, and there is no longer time to serve it.
    WaitedTooLong,
};

} // namespace lavendertally::admission
