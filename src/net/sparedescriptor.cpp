#include "papayastep/net/sparedescriptor.h"

#include <algorithm>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

namespace papayastep::net {

SpareDescriptor::SpareDescriptor()
{
    reacquire();
}

SpareDescriptor::~SpareDescriptor()
{
    release();
}

void SpareDescriptor::release()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

bool SpareDescriptor::reacquire()
{
    if (m_descriptor < 0) {
        m_descriptor = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    }
    return m_descriptor >= 0;
}

std::size_t connectionsWithin(double share, std::size_t wanted)
{
    rlimit limit = {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return wanted;
    }
    const auto allowed = static_cast<std::size_t>(static_cast<double>(limit.rlim_cur) * share);
    return std::min(wanted, std::max<std::size_t>(allowed, 1));
}

}
