#include "papayastep/routing/idempotencyhome.h"

#include "papayastep/base/error.h"
#include "papayastep/base/hashing.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>

namespace papayastep::routing {

namespace {

constexpr std::size_t longestKey = 255;

/// Hashes parts with their lengths, so that ("ab", "c") and ("a", "bc") differ.
class Hasher
{
public:
    Hasher()
    {
        crypto_generichash_init(&m_state, nullptr, 0, sizeof(Digest128::bytes));
    }
    void add(std::string_view part)
    {
        const std::uint64_t size = part.size();
        crypto_generichash_update(&m_state, reinterpret_cast<const unsigned char *>(&size), sizeof(size));
        crypto_generichash_update(&m_state, reinterpret_cast<const unsigned char *>(part.data()), part.size());
    }
    Digest128 finish()
    {
        Digest128 digest;
        crypto_generichash_final(&m_state, digest.bytes.data(), digest.bytes.size());
        return digest;
    }

private:
    crypto_generichash_state m_state;
};

struct Ranking
{
    const base::VmId *first = nullptr;
    const base::VmId *second = nullptr;
};

Ranking rank(const KeyHash &key, const std::vector<base::VmId> &vms)
{
    Ranking ranking;
    std::pair<std::uint64_t, std::string_view> best;
    std::pair<std::uint64_t, std::string_view> next;
    for (const base::VmId &vm : vms) {
        const auto weight
            = std::make_pair(base::rendezvousWeight(key.view(), vm.value()), std::string_view(vm.value()));
        if (ranking.first == nullptr || weight > best) {
            next = best;
            ranking.second = ranking.first;
            best = weight;
            ranking.first = &vm;
        } else if (ranking.second == nullptr || weight > next) {
            next = weight;
            ranking.second = &vm;
        }
    }
    return ranking;
}

int hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

}

std::string_view Digest128::view() const
{
    return std::string_view(reinterpret_cast<const char *>(bytes.data()), bytes.size());
}

void Digest128::assign(std::string_view raw)
{
    if (raw.size() != bytes.size()) {
        throw base::Error(base::ResultCode::MessageMalformed, "a digest must have 16 bytes");
    }
    std::memcpy(bytes.data(), raw.data(), raw.size());
}

KeyHash keyHash(const base::WorkspaceId &workspace, std::string_view key)
{
    Hasher hasher;
    hasher.add(workspace.value());
    hasher.add(key);
    return hasher.finish();
}

BodyDigest bodyDigest(std::string_view method, std::string_view target, std::string_view body)
{
    Hasher hasher;
    hasher.add(method);
    hasher.add(target);
    hasher.add(body);
    return hasher.finish();
}

RequestDigest requestDigest(const base::WorkspaceId &workspace,
                            std::string_view method,
                            std::string_view target,
                            std::string_view body)
{
    Hasher hasher;
    hasher.add(workspace.value());
    hasher.add(method);
    hasher.add(target);
    hasher.add(body);
    return hasher.finish();
}

bool isValidIdempotencyKey(std::string_view key)
{
    return !key.empty() && key.size() <= longestKey
        && std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
}

std::optional<base::WallTime> timeOfKey(std::string_view key)
{
    constexpr std::size_t uuidLength = 36;
    constexpr std::size_t versionAt = 14;
    constexpr std::size_t variantAt = 19;
    constexpr std::size_t timeEnd = 13; // 12 digits and a hyphen
    if (key.size() != uuidLength) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < key.size(); ++i) {
        const bool isHyphen = i == 8 || i == 13 || i == 18 || i == 23;
        if (isHyphen ? key[i] != '-' : hexValue(key[i]) < 0) {
            return std::nullopt;
        }
    }
    const int variant = hexValue(key[variantAt]);
    if (key[versionAt] != '7' || variant < 8 || variant > 11) {
        return std::nullopt;
    }
    std::int64_t milliseconds = 0;
    for (std::size_t i = 0; i < timeEnd; ++i) {
        if (key[i] != '-') {
            milliseconds = milliseconds * 16 + hexValue(key[i]);
        }
    }
    constexpr std::int64_t latest = INT64_MAX / 1'000'000;
    if (milliseconds > latest) {
        return std::nullopt;
    }
    return base::WallTime(std::chrono::milliseconds(milliseconds));
}

base::VmId homeOf(const KeyHash &key, const std::vector<base::VmId> &vms)
{
    const Ranking ranking = rank(key, vms);
    return ranking.first == nullptr ? base::VmId() : *ranking.first;
}

base::VmId nextHomeOf(const KeyHash &key, const std::vector<base::VmId> &vms)
{
    const Ranking ranking = rank(key, vms);
    return ranking.second == nullptr ? base::VmId() : *ranking.second;
}

}
