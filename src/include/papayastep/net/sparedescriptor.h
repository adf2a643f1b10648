#pragma once

#include <cstddef>

namespace papayastep::net {

/// A file descriptor that is kept in reserve. A process that has no descriptor left can release it in order to accept a
/// waiting connection and close it; otherwise the caller would wait in the listen queue until its own timeout.
class SpareDescriptor
{
public:
    SpareDescriptor();
    ~SpareDescriptor();
    SpareDescriptor(const SpareDescriptor &) = delete;
    SpareDescriptor &operator=(const SpareDescriptor &) = delete;

    void release();
    /// Opens the spare descriptor again if it was released. Returns whether it is open.
    bool reacquire();

private:
    int m_descriptor = -1;
};

/// Returns how many of `wanted` connections may be open so that they use at most `share` (0 to 1) of the file
/// descriptors that this process may open. At least 1 is returned.
std::size_t connectionsWithin(double share, std::size_t wanted);

}
