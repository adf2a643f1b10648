#pragma once

#include <cstddef>

namespace papayastep::net {

/// A file descriptor that is kept back. Given up, it lets a process that has none left take a connection off the queue
/// and close it; without it the caller waits there until its own timeout.
class SpareDescriptor
{
public:
    SpareDescriptor();
    ~SpareDescriptor();
    SpareDescriptor(const SpareDescriptor &) = delete;
    SpareDescriptor &operator=(const SpareDescriptor &) = delete;

    void release();
    /// Returns whether there is a spare one again.
    bool reacquire();

private:
    int m_descriptor = -1;
};

/// How many connections may be open such that they take up at most `share` of this process's file descriptors.
std::size_t connectionsWithin(double share, std::size_t wanted);

}
