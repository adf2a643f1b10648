#include "papayastep/net/httpstatus.h"

namespace papayastep::net {

namespace {

constexpr unsigned switchingProtocols = 101;
constexpr unsigned noContent = 204;
constexpr unsigned notModified = 304;

}

StatusKind statusKind(unsigned status)
{
    if (status < 100 || status > 599 || status == switchingProtocols) {
        return StatusKind::Invalid;
    }
    return status < 200 ? StatusKind::Interim : StatusKind::Final;
}

bool mayHaveBody(unsigned status)
{
    return mayHaveLength(status) && status != notModified;
}

bool mayHaveLength(unsigned status)
{
    return status >= 200 && status != noContent;
}

}
