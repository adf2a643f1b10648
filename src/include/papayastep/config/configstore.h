#pragma once

#include "papayastep/config/configuration.h"

#include <msgpack.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

/// Storage of the configuration files of the active revision, compressed, for transfer to other nodes. VMs have no
/// disks, and the platform may be unreachable for hours, so nodes fetch the files from each other.
namespace papayastep::config {

/// Identifies a published file by its name and content.
struct FileReference
{
    std::string name;
    std::string digest; ///< SHA-256 of the text as 64 lower-case hexadecimal digits.
    std::uint64_t bytes = 0; ///< Size of the uncompressed text in bytes.

    auto operator<=>(const FileReference &) const = default;
    MSGPACK_DEFINE(name, digest, bytes)
};

/// All files of one revision, sorted by name. The platform answers with it, and it is the first part of a transfer.
struct FileListing
{
    base::Revision revision = 0;
    std::vector<FileReference> files;

    /// Returns the SHA-256 over the names and digests, without the revision. Two listings have the same digest exactly
    /// if all names and texts are equal.
    std::string digest() const;

    auto operator<=>(const FileListing &) const = default;
    MSGPACK_DEFINE(revision, files)
};

/// One changed file of a ConfigurationPatch, sent either whole or as a patch against the old text of the same name.
struct FilePatch
{
    std::string name;
    std::string baseDigest; ///< Digest of the old text. If it is empty, `data` is the whole text, compressed.
    std::string data; ///< A zstd frame. With a base digest, it is compressed with the old text as prefix.

    auto operator<=>(const FilePatch &) const = default;
    MSGPACK_DEFINE(name, baseDigest, data)
};

/// The difference between two sets of files. It omits files that both sets have in common, so that the change of one
/// workspace results in a small patch regardless of the number of files.
struct ConfigurationPatch
{
    base::Revision target = 0; ///< Revision of the result.
    std::string baseDigest; ///< FileListing::digest() of the files that the patch applies to.
    std::string targetDigest; ///< FileListing::digest() of the result.
    std::vector<std::string> removed; ///< Names of the removed files.
    std::vector<FileReference> changed; ///< New or changed files.
    std::vector<FilePatch> patches; ///< One patch for each file in `changed`, in the same order.

    auto operator<=>(const ConfigurationPatch &) const = default;
    MSGPACK_DEFINE(target, baseDigest, targetDigest, removed, changed, patches)
};

/// Returns the SHA-256 of `text` as lower-case hexadecimal digits.
std::string digestOf(std::string_view text);

/// Returns the listing of `files`, sorted by name.
FileListing listingOf(base::Revision revision, const std::vector<ConfigurationFile> &files);

/// Holds the compressed files of one revision, and creates and applies patches between revisions. A store is immutable,
/// and its copies share the compressed files, so that files which two revisions have in common take memory only once.
class ConfigStore
{
public:
    /// Creates an empty store with revision 0.
    ConfigStore() = default;
    ConfigStore(base::Revision revision, const std::vector<ConfigurationFile> &files);

    base::Revision revision() const;
    const FileListing &listing() const;

    /// Whether the store has a file of this name and digest.
    bool holds(const FileReference &file) const;

    /// Returns the text of the file `name`. Throws Error(ConfigUnknownReference) if the store has no such file.
    std::string text(const std::string &name) const;

    /// Returns all files, sorted by name.
    std::vector<ConfigurationFile> files() const;

    /// Returns the patch that turns the files in `receiverListing` into the files of this store. If `olderStore` has
    /// the receiver's text of a changed file, the new text is compressed with the old one as zstd prefix, so that one
    /// changed workspace in a file of a megabyte takes a few hundred bytes instead of the whole file. Other changed
    /// files are sent whole.
    ConfigurationPatch patchFor(const FileListing &receiverListing, const ConfigStore &olderStore) const;

    /// Returns the store that results from applying `patch` to this one. Throws Error(MessageMalformed) if the patch
    /// was made for other files, or if any resulting file does not match its digest or exceeds maxFileBytes. A
    /// truncated, mixed or forged transfer therefore never becomes a configuration.
    ConfigStore apply(const ConfigurationPatch &patch) const;

    /// Returns a store with the files of `listing`, taken from this store or else from `fetched`. Throws
    /// Error(PlatformAnswerInvalid) if a file is missing or does not match its digest.
    ConfigStore assemble(const FileListing &listing, const std::vector<ConfigurationFile> &fetched) const;

    /// Returns the memory that the compressed files take, in bytes.
    std::size_t compressedBytes() const;

private:
    using Blob = std::shared_ptr<const std::string>; ///< One compressed file as a zstd frame.

    FileListing m_listing;
    std::map<std::string, Blob> m_blobs; ///< Compressed files by name.
};

}
