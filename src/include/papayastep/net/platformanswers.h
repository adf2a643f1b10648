#pragma once

#include "papayastep/base/identifiers.h"
#include "papayastep/config/configuration.h"

#include <cstdint>
#include <string>
#include <vector>

/// What the platform answers (docs/PLATFORM.md), and how it is read. Free of I/O, so that it can be fuzzed.
namespace papayastep::net {

/// One published file, as the platform's index names it.
struct PublishedFile
{
    std::string name;
    std::string digest; ///< SHA-256 of the text, hexadecimal.
    std::uint64_t bytes = 0;

    auto operator<=>(const PublishedFile &) const = default;
};

struct PublishedIndex
{
    base::Revision revision = 0;
    std::vector<PublishedFile> files;

    auto operator<=>(const PublishedIndex &) const = default;
};

/// Parses the platform's answers. Throw Error(PlatformAnswerInvalid).
PublishedIndex parsePublishedIndex(const std::string &json);
config::VmList parseVmList(const std::string &json);

}
