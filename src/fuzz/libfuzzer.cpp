#include "targets.h"

#include <cstddef>
#include <cstdint>

/// Entry point of libFuzzer. The build selects the function of targets.h that it calls.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    papayastep::fuzz::PAPAYASTEP_FUZZ_TARGET({reinterpret_cast<const char *>(data), size});
    return 0;
}
