#include "compression.h"

#include "papayastep/base/error.h"

#include <zstd.h>

#include <memory>

namespace papayastep::config {

namespace {

constexpr int compressionLevel = 3;
/// Base-2 logarithm of the window size in bytes. 2 MiB hold a file of a megabyte together with the old text of the same
/// file as prefix.
constexpr int windowLog = 21;

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

void throwIfError(std::size_t result, base::ResultCode code)
{
    if (ZSTD_isError(result) != 0U) {
        throw base::Error(code, ZSTD_getErrorName(result));
    }
}

}

std::string compress(std::string_view text, std::string_view prefix)
{
    const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
    throwIfError(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel),
                 base::ResultCode::Internal);
    if (!prefix.empty()) {
        throwIfError(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLog), base::ResultCode::Internal);
        throwIfError(ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1),
                     base::ResultCode::Internal);
        throwIfError(ZSTD_CCtx_refPrefix(context.get(), prefix.data(), prefix.size()), base::ResultCode::Internal);
    }
    std::string frame(ZSTD_compressBound(text.size()), '\0');
    const std::size_t size = ZSTD_compress2(context.get(), frame.data(), frame.size(), text.data(), text.size());
    throwIfError(size, base::ResultCode::Internal);
    frame.resize(size);
    frame.shrink_to_fit();
    return frame;
}

std::string decompress(std::string_view frame, std::size_t maxBytes, std::string_view prefix)
{
    const unsigned long long size = ZSTD_getFrameContentSize(frame.data(), frame.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > maxBytes) {
        throw base::Error(base::ResultCode::MessageMalformed, "a compressed file is invalid or too large");
    }
    const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
    if (!prefix.empty()) {
        throwIfError(ZSTD_DCtx_refPrefix(context.get(), prefix.data(), prefix.size()), base::ResultCode::Internal);
    }
    std::string text(static_cast<std::size_t>(size), '\0');
    const std::size_t read = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), frame.data(), frame.size());
    throwIfError(read, base::ResultCode::MessageMalformed);
    if (read != text.size()) {
        throw base::Error(base::ResultCode::MessageMalformed, "a compressed file is shorter than its header states");
    }
    return text;
}

}
