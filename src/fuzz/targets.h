#pragma once

#include <span>
#include <string_view>

/// What is fuzzed: each function reads bytes as a node would, and lets nothing but base::Error come about. Any other
/// exception escapes, for the fuzzer or the replaying test to report.
namespace papayastep::fuzz {

/// One configuration file.
void fuzzConfiguration(std::string_view bytes);

/// The headers of a hop, as they come and as the payload behind a good tag.
void fuzzHop(std::string_view bytes);

/// A message between nodes, as it comes and as the payload of each kind.
void fuzzPeer(std::string_view bytes);

/// The platform's index and VM list.
void fuzzPlatform(std::string_view bytes);

/// A raw HTTP header block.
void fuzzRawHeader(std::string_view bytes);

/// A target by the name of its corpus folder.
struct Target
{
    std::string_view name;
    void (*run)(std::string_view bytes);
};

/// All of them.
std::span<const Target> targets();

}
