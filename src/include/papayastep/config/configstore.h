#pragma once

#include "papayastep/config/configuration.h"

#include <msgpack.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

/// The files of the revision in force, kept compressed for other nodes: VMs have no disks, and the platform may be
/// away for hours, so nodes are each other's source.
namespace papayastep::config {

/// A published file by name and content.
struct FileReference
{
    std::string name;
    std::string digest; ///< SHA-256 of the text, 64 lower-case hexadecimal digits.
    std::uint64_t bytes = 0; ///< Of the text.

    auto operator<=>(const FileReference &) const = default;
    MSGPACK_DEFINE(name, digest, bytes)
};

/// All files of one revision, sorted by name: what the platform answers, and the first part of a transfer.
struct FileListing
{
    base::Revision revision = 0;
    std::vector<FileReference> files;

    /// SHA-256 over names and digests, without the revision: equal exactly where all texts are equal.
    std::string digest() const;

    auto operator<=>(const FileListing &) const = default;
    MSGPACK_DEFINE(revision, files)
};

/// How one file of a delta comes: whole, or as a patch against the old text of the same name.
struct FilePatch
{
    std::string name;
    std::string baseDigest; ///< Empty: `data` is the whole text, compressed.
    std::string data; ///< zstd; with a base, compressed with the base as prefix.

    auto operator<=>(const FilePatch &) const = default;
    MSGPACK_DEFINE(name, baseDigest, data)
};

/// What turns one set of files into the next one. Names no file that both have in common, so that the change of one
/// workspace stays small however many files there are.
struct ConfigurationPatch
{
    base::Revision target = 0;
    std::string baseDigest; ///< FileListing::digest() of the files it applies to.
    std::string targetDigest; ///< FileListing::digest() of the result.
    std::vector<std::string> removed; ///< Names.
    std::vector<FileReference> changed; ///< New or changed files.
    std::vector<FilePatch> patches; ///< One for each of `changed`, in that order.

    auto operator<=>(const ConfigurationPatch &) const = default;
    MSGPACK_DEFINE(target, baseDigest, targetDigest, removed, changed, patches)
};

/// SHA-256 of `text` in hexadecimal.
std::string digestOf(std::string_view text);

/// Listing of `files`.
FileListing listingOf(base::Revision revision, const std::vector<ConfigurationFile> &files);

/// Immutable; copies are cheap for files that two revisions share.
class ConfigStore
{
public:
    /// Holds nothing, under revision 0.
    ConfigStore() = default;
    ConfigStore(base::Revision revision, const std::vector<ConfigurationFile> &files);

    base::Revision revision() const;
    const FileListing &listing() const;

    /// Whether a file of this name and digest is held.
    bool holds(const FileReference &file) const;

    /// The text of a held file. Throws Error(ConfigUnknownReference) otherwise.
    std::string text(const std::string &name) const;

    /// All files, sorted by name.
    std::vector<ConfigurationFile> files() const;

    /// The patch that turns the files `have` into the files of this store. A changed file whose old text `older` holds
    /// goes as a zstd frame with that text as prefix, so that one changed workspace in a file of a megabyte costs a few
    /// hundred bytes and not the file; others go whole.
    ConfigurationPatch patchFor(const FileListing &have, const ConfigStore &older) const;

    /// Applies `patch`. Throws Error(MessageMalformed) if it is not against this store, or if any result differs
    /// from its digest or exceeds maxFileBytes: so a cut, mixed or forged transfer never becomes a configuration.
    ConfigStore apply(const ConfigurationPatch &patch) const;

    /// The store made of `listing` from files held here and files `fetched`. Throws Error(PlatformAnswerInvalid) where
    /// one is missing or differs from its digest.
    ConfigStore assemble(const FileListing &listing, const std::vector<ConfigurationFile> &fetched) const;

    /// Compressed bytes held.
    std::size_t compressedBytes() const;

private:
    using Blob = std::shared_ptr<const std::string>; ///< One zstd frame.

    FileListing m_listing;
    std::map<std::string, Blob> m_blobs; ///< By name.
};

}
