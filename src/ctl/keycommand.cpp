#include "command.h"

#include "papayastep/base/error.h"
#include "papayastep/config/configuration.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <array>
#include <istream>
#include <ostream>

namespace papayastep::ctl {

namespace {

using boost::program_options::value;
using nlohmann::ordered_json;

constexpr std::size_t secretBytes = 32;
constexpr int base64Variant = sodium_base64_VARIANT_URLSAFE_NO_PADDING;

/// Returns 256 random bits as 43 characters that need no quoting in a shell or a header.
std::string randomSecret()
{
    if (sodium_init() < 0) {
        throw base::Error(base::ResultCode::Internal, "the system's random number generator is not available");
    }
    std::array<unsigned char, secretBytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::string text(sodium_base64_ENCODED_LEN(secretBytes, base64Variant), '\0');
    sodium_bin2base64(text.data(), text.size(), bytes.data(), bytes.size(), base64Variant);
    text.pop_back();
    return text;
}

std::string fragmentOf(const std::string &workspace, const char *field, const config::KeyFingerprint &fingerprint)
{
    const ordered_json entry{
        {"id", workspace}, {"override", true}, {field, ordered_json::array({"sha256:" + fingerprint.toString()})}};
    return ordered_json{{"workspaces", ordered_json::array({entry})}}.dump(4) + '\n';
}

class KeyNewCommand final : public Command
{
public:
    std::string name() const override
    {
        return "key new";
    }
    std::string summary() const override
    {
        return "Makes a key for a workspace: prints the secret, this once, and the file that makes it good.";
    }
    std::string usage() const override
    {
        return "WORKSPACE [--output FILE]";
    }

protected:
    void describe(Options &options, Positions &positions) const override
    {
        options.add_options()("workspace", value<std::string>(), "id of a workspace that an earlier file defines")(
            "output", value<std::string>(), "write the file (never the secret) to this new path");
        positions.add("workspace", 1);
    }

    int execute(const Values &values, Streams &streams) const override
    {
        const std::string workspace = required(values, "workspace");
        const std::string secret = randomSecret();
        const config::KeyFingerprint fingerprint = config::fingerprintOf(secret);
        const std::string name = "50-key-" + workspace + "-" + fingerprint.toString().substr(0, 8) + ".json";
        const std::string fragment = fragmentOf(workspace, "addKeys", fingerprint);
        // The file is written first: a secret printed without its file would look like a valid key.
        if (values.count("output") != 0) {
            writeOutput(values, fragment, streams);
        }
        streams.out << "The secret, shown only now. Hand it to the caller over a safe channel:\n" << secret << "\n\n";
        if (values.count("output") == 0) {
            streams.out << "Put this into the configuration folder as " << name << ", run papayastep check, publish:\n"
                        << fragment;
        }
        return exitOk;
    }
};

class KeyFingerprintCommand final : public Command
{
public:
    std::string name() const override
    {
        return "key fingerprint";
    }
    std::string summary() const override
    {
        return "Reads a secret from standard input (one line) and prints its fingerprint.";
    }
    std::string usage() const override
    {
        return "< FILE";
    }

protected:
    void describe(Options &, Positions &) const override
    {
    }

    int execute(const Values &, Streams &streams) const override
    {
        std::string secret;
        std::getline(streams.in, secret);
        while (secret.ends_with('\r') || secret.ends_with(' ')) {
            secret.pop_back();
        }
        if (secret.empty()) {
            throw base::Error(base::ResultCode::CommandLine, "standard input contains no secret");
        }
        streams.out << "sha256:" << config::fingerprintOf(secret).toString() << '\n';
        return exitOk;
    }
};

class KeyWithdrawCommand final : public Command
{
public:
    std::string name() const override
    {
        return "key withdraw";
    }
    std::string summary() const override
    {
        return "Prints the file that withdraws a key from a workspace.";
    }
    std::string usage() const override
    {
        return "WORKSPACE FINGERPRINT [--output FILE]";
    }

protected:
    void describe(Options &options, Positions &positions) const override
    {
        options.add_options()("workspace", value<std::string>(), "id of the workspace")(
            "fingerprint", value<std::string>(), "sha256:... of the key, never the key")(
            "output", value<std::string>(), "write to this new file instead");
        positions.add("workspace", 1);
        positions.add("fingerprint", 1);
    }

    int execute(const Values &values, Streams &streams) const override
    {
        const auto fingerprint = config::KeyFingerprint::parse(required(values, "fingerprint"));
        writeOutput(values, fragmentOf(required(values, "workspace"), "withdrawKeys", fingerprint), streams);
        return exitOk;
    }
};

}

std::unique_ptr<Command> makeKeyNewCommand()
{
    return std::make_unique<KeyNewCommand>();
}

std::unique_ptr<Command> makeKeyFingerprintCommand()
{
    return std::make_unique<KeyFingerprintCommand>();
}

std::unique_ptr<Command> makeKeyWithdrawCommand()
{
    return std::make_unique<KeyWithdrawCommand>();
}

}
