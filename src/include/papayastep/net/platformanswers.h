#pragma once

#include "papayastep/base/identifiers.h"
#include "papayastep/config/configuration.h"

#include <cstdint>
#include <string>
#include <vector>

/// The answers of the platform (docs/PLATFORM.md) and their parsers. They do no I/O, so that they can be fuzzed.
namespace papayastep::net {

/// One published file, as listed in the index of the platform.
struct PublishedFile
{
    std::string name;
    std::string digest; ///< SHA-256 of the text, hexadecimal.
    std::uint64_t bytes = 0;

    auto operator<=>(const PublishedFile &) const = default;
};

/// The list of the files of a published configuration.
struct PublishedIndex
{
    base::Revision revision = 0;
    std::vector<PublishedFile> files;

    auto operator<=>(const PublishedIndex &) const = default;
};

/// Parse the answers of the platform. Throw Error(PlatformAnswerInvalid) if an answer is not valid.
PublishedIndex parsePublishedIndex(const std::string &json);
config::VmList parseVmList(const std::string &json);

}
