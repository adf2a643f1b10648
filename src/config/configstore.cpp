#include "compression.h"

#include "papayastep/base/error.h"
#include "papayastep/config/configstore.h"

#include <sodium.h>

#include <algorithm>
#include <unordered_map>

namespace papayastep::config {

namespace {

[[noreturn]] void throwMalformed(const std::string &detail)
{
    throw base::Error(base::ResultCode::MessageMalformed, detail);
}

void sortByName(FileListing &listing)
{
    std::sort(listing.files.begin(), listing.files.end());
}

const FileReference *findFile(const FileListing &listing, const std::string &name)
{
    const auto found = std::lower_bound(
        listing.files.begin(), listing.files.end(), name, [](const FileReference &file, const std::string &wanted) {
            return file.name < wanted;
        });
    return found != listing.files.end() && found->name == name ? &*found : nullptr;
}

}

std::string FileListing::digest() const
{
    std::string names;
    for (const FileReference &file : files) {
        names += file.name + '\n' + file.digest + '\n';
    }
    return digestOf(names);
}

std::string digestOf(std::string_view text)
{
    unsigned char digest[crypto_hash_sha256_BYTES];
    crypto_hash_sha256(digest, reinterpret_cast<const unsigned char *>(text.data()), text.size());
    std::string hex(2 * sizeof(digest) + 1, '\0');
    sodium_bin2hex(hex.data(), hex.size(), digest, sizeof(digest));
    hex.pop_back();
    return hex;
}

FileListing listingOf(base::Revision revision, const std::vector<ConfigurationFile> &files)
{
    FileListing listing{revision, {}};
    listing.files.reserve(files.size());
    for (const ConfigurationFile &file : files) {
        listing.files.push_back({file.name, digestOf(file.text), file.text.size()});
    }
    sortByName(listing);
    return listing;
}

ConfigStore::ConfigStore(base::Revision revision, const std::vector<ConfigurationFile> &files)
    : m_listing(listingOf(revision, files))
{
    for (const ConfigurationFile &file : files) {
        m_blobs.emplace(file.name, std::make_shared<const std::string>(compress(file.text)));
    }
}

base::Revision ConfigStore::revision() const
{
    return m_listing.revision;
}

const FileListing &ConfigStore::listing() const
{
    return m_listing;
}

bool ConfigStore::holds(const FileReference &file) const
{
    const FileReference *held = findFile(m_listing, file.name);
    return held && held->digest == file.digest;
}

std::string ConfigStore::text(const std::string &name) const
{
    const auto blob = m_blobs.find(name);
    if (blob == m_blobs.end()) {
        throw base::Error(base::ResultCode::ConfigUnknownReference, "the store has no file of this name", {name, {}});
    }
    return decompress(*blob->second, maxFileBytes);
}

std::vector<ConfigurationFile> ConfigStore::files() const
{
    std::vector<ConfigurationFile> all;
    all.reserve(m_blobs.size());
    for (const auto &[name, blob] : m_blobs) {
        all.push_back({name, decompress(*blob, maxFileBytes)});
    }
    return all;
}

ConfigurationPatch ConfigStore::patchFor(const FileListing &receiverListing, const ConfigStore &olderStore) const
{
    ConfigurationPatch patch{m_listing.revision, receiverListing.digest(), m_listing.digest(), {}, {}, {}};
    for (const FileReference &file : receiverListing.files) {
        if (!findFile(m_listing, file.name)) {
            patch.removed.push_back(file.name);
        }
    }
    for (const FileReference &file : m_listing.files) {
        const FileReference *old = findFile(receiverListing, file.name);
        if (old && old->digest == file.digest) {
            continue;
        }
        patch.changed.push_back(file);
        if (old && olderStore.holds(*old)) {
            patch.patches.push_back({file.name, old->digest, compress(text(file.name), olderStore.text(file.name))});
        } else {
            patch.patches.push_back({file.name, {}, *m_blobs.at(file.name)});
        }
    }
    return patch;
}

ConfigStore ConfigStore::apply(const ConfigurationPatch &patch) const
{
    if (patch.baseDigest != m_listing.digest()) {
        throwMalformed("the patch was made for other files");
    }
    if (patch.changed.size() != patch.patches.size()) {
        throwMalformed("the number of file patches differs from the number of changed files");
    }
    ConfigStore result(*this);
    for (const std::string &name : patch.removed) {
        result.m_blobs.erase(name);
        std::erase_if(result.m_listing.files, [&name](const FileReference &file) { return file.name == name; });
    }
    for (std::size_t index = 0; index < patch.changed.size(); ++index) {
        const FileReference &file = patch.changed[index];
        const FilePatch &change = patch.patches[index];
        const bool isWhole = change.baseDigest.empty();
        if (!isWhole && !holds({file.name, change.baseDigest, 0})) {
            throwMalformed("the store lacks the old text of a changed file");
        }
        const std::string newText = decompress(change.data, maxFileBytes, isWhole ? std::string() : text(file.name));
        if (newText.size() != file.bytes || digestOf(newText) != file.digest) {
            throwMalformed("a file does not match its size or digest");
        }
        result.m_blobs[file.name] = std::make_shared<const std::string>(isWhole ? change.data : compress(newText));
        std::erase_if(result.m_listing.files, [&file](const FileReference &old) { return old.name == file.name; });
        result.m_listing.files.push_back(file);
    }
    sortByName(result.m_listing);
    result.m_listing.revision = patch.target;
    if (result.m_listing.digest() != patch.targetDigest) {
        throwMalformed("the resulting files do not match the digest of the revision");
    }
    return result;
}

ConfigStore ConfigStore::assemble(const FileListing &listing, const std::vector<ConfigurationFile> &fetched) const
{
    std::unordered_map<std::string, const ConfigurationFile *> byName;
    for (const ConfigurationFile &file : fetched) {
        byName.emplace(file.name, &file);
    }
    ConfigStore result;
    result.m_listing = listing;
    sortByName(result.m_listing);
    for (const FileReference &file : listing.files) {
        if (holds(file)) {
            result.m_blobs.emplace(file.name, m_blobs.at(file.name));
            continue;
        }
        const auto found = byName.find(file.name);
        if (found == byName.end() || digestOf(found->second->text) != file.digest) {
            throw base::Error(base::ResultCode::PlatformAnswerInvalid,
                              "the file is missing or does not match its digest",
                              {file.name, {}});
        }
        result.m_blobs.emplace(file.name, std::make_shared<const std::string>(compress(found->second->text)));
    }
    return result;
}

std::size_t ConfigStore::compressedBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[name, blob] : m_blobs) {
        bytes += blob->capacity();
    }
    return bytes;
}

}
