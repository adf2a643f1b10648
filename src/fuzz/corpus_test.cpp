#include "targets.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

using namespace papayastep::fuzz;

namespace {

constexpr int mutationsOfEach = 2000;
constexpr std::uint64_t seed = 20261203;

struct CorpusFixture
{
    static std::vector<std::string> inputsOf(const Target &target)
    {
        const std::string folder = std::string(PAPAYASTEP_SOURCE_DIR) + "/src/fuzz/corpus/" + std::string(target.name);
        std::vector<std::filesystem::path> paths;
        for (const auto &entry : std::filesystem::directory_iterator(folder)) {
            paths.push_back(entry.path());
        }
        std::sort(paths.begin(), paths.end());
        std::vector<std::string> inputs;
        for (const auto &path : paths) {
            std::ifstream stream(path, std::ios::binary);
            inputs.emplace_back(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
        }
        return inputs;
    }
    /// Returns `bytes` after one to four mutations, each of which changes a byte or removes or duplicates a few. Uses
    /// the generator without distributions, because only its raw values are the same on every platform.
    std::string mutated(std::string bytes)
    {
        for (std::uint64_t left = 1 + random() % 4; left > 0 && !bytes.empty(); --left) {
            const std::size_t at = random() % bytes.size();
            switch (random() % 4) {
            case 0:
                bytes[at] = static_cast<char>(random());
                break;
            case 1:
                bytes[at] = static_cast<char>(bytes[at] ^ (1 << random() % 8));
                break;
            case 2:
                bytes.erase(at, 1 + random() % 8);
                break;
            default:
                bytes.insert(at, bytes.substr(at, 1 + random() % 8));
            }
        }
        return bytes;
    }

    std::mt19937_64 random{seed};
};

}

// A faulty or hostile sender sends malformed bytes. A decoder that throws anything but base::Error for them would
// terminate the node.
BOOST_FIXTURE_TEST_CASE(targets_withCorpusAndMutations_throwNothing, CorpusFixture)
{
    for (const Target &target : targets()) {
        const auto inputs = inputsOf(target);
        BOOST_TEST(!inputs.empty(), target.name << " has no corpus");
        for (const std::string &input : inputs) {
            BOOST_CHECK_NO_THROW(target.run(input));
            for (int count = 0; count < mutationsOfEach; ++count) {
                const std::string bytes = mutated(input);
                BOOST_CHECK_NO_THROW(target.run(bytes));
            }
        }
    }
}
