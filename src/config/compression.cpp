#include "compression.h"

#include "papayastep/base/error.h"

#include <zstd.h>

#include <memory>

namespace papayastep::config {

namespace {

constexpr int level = 3;
constexpr int windowLog = 21; ///< 2 MiB: a file of a megabyte and the old text of the same file before it.

struct FreeContext
{
    void operator()(ZSTD_CCtx *context) const
    {
        ZSTD_freeCCtx(context);
    }
    void operator()(ZSTD_DCtx *context) const
    {
        ZSTD_freeDCtx(context);
    }
};

void require(std::size_t result, base::ResultCode code)
{
    if (ZSTD_isError(result) != 0U) {
        throw base::Error(code, ZSTD_getErrorName(result));
    }
}

}

std::string compress(std::string_view text, std::string_view prefix)
{
    const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
    require(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, level), base::ResultCode::Internal);
    if (!prefix.empty()) {
        require(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog), base::ResultCode::Internal);
        require(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1),
                base::ResultCode::Internal);
        require(ZSTD_CCtx_refPrefix(context.get(), prefix.data(), prefix.size()), base::ResultCode::Internal);
    }
    std::string frame(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size = ZSTD_compress2(context.get(), frame.data(), frame.size(), text.data(), text.size());
    require(size, base::ResultCode::Internal);
    frame.resize(size);
    frame.shrink_to_fit();
    return frame;
}

std::string decompress(std::string_view frame, std::size_t largest, std::string_view prefix)
{
    const unsigned long long size = ZSTD_getFrameContentSize(frame.data(), frame.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > largest) {
        throw base::Error(base::ResultCode::MessageMalformed, "a compressed file is broken or too large");
    }
    const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
    if (!prefix.empty()) {
        require(ZSTD_DCtx_refPrefix(context.get(), prefix.data(), prefix.size()), base::ResultCode::Internal);
    }
    std::string text(static_cast<std::size_t>(size), '\0');
    const std::size_t read = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), frame.data(), frame.size());
    require(read, base::ResultCode::MessageMalformed);
    if (read != text.size()) {
        throw base::Error(base::ResultCode::MessageMalformed, "a compressed file is shorter than it says");
    }
    return text;
}

}
