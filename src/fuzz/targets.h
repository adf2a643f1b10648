#pragma once

#include <span>
#include <string_view>

/// Fuzz targets. Each function decodes bytes as a node does and accepts base::Error. Any other exception propagates, so
/// that the fuzzer or the test that replays the corpus reports it.
namespace papayastep::fuzz {

/// Decodes one configuration file.
void fuzzConfiguration(std::string_view bytes);

/// Decodes the headers of a hop, from the input as received and from the input as a payload with a valid tag.
void fuzzHop(std::string_view bytes);

/// Decodes a message between nodes, from the input as received and from the input as a payload of each kind.
void fuzzPeer(std::string_view bytes);

/// Decodes the platform's index and VM list.
void fuzzPlatform(std::string_view bytes);

/// Decodes a raw HTTP header block.
void fuzzRawHeader(std::string_view bytes);

/// Reads a pipeline of requests as a connection does, and answers them in an order that depends on the input. Checks
/// which requests are handled concurrently and that nothing is started behind a closing answer.
void fuzzPipeline(std::string_view bytes);

/// A fuzz target with the name of its corpus folder.
struct Target
{
    std::string_view name;
    void (*run)(std::string_view bytes);
};

/// Returns all fuzz targets.
std::span<const Target> targets();

}
