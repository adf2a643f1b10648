#include "papayastep/base/identifiers.h"

#include "papayastep/base/error.h"

#include <charconv>
#include <cstdio>

namespace papayastep::base {

namespace {

constexpr std::size_t digitsPerHalf = 16;

std::uint64_t parseHalf(const char *begin)
{
    std::uint64_t half = 0;
    const char *end = begin + digitsPerHalf;
    const auto result = std::from_chars(begin, end, half, 16);
    if (result.ec != std::errc() || result.ptr != end) {
        throw Error(ResultCode::HopMalformed, "a request id must have 32 hexadecimal digits");
    }
    return half;
}

}

std::string toString(const RequestId &id)
{
    char digits[2 * digitsPerHalf + 1];
    std::snprintf(digits,
                  sizeof(digits),
                  "%016llx%016llx",
                  static_cast<unsigned long long>(id.high),
                  static_cast<unsigned long long>(id.low));
    return digits;
}

RequestId parseRequestId(const std::string &digits)
{
    if (digits.size() != 2 * digitsPerHalf) {
        throw Error(ResultCode::HopMalformed, "a request id must have 32 hexadecimal digits");
    }
    return RequestId{parseHalf(digits.data()), parseHalf(digits.data() + digitsPerHalf)};
}

std::ostream &operator<<(std::ostream &stream, const RequestId &id)
{
    return stream << toString(id);
}

}
