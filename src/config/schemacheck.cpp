#include "schemacheck.h"

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <string_view>

namespace papayastep::embedded {
extern const std::string_view configSchema;
}

namespace papayastep::config {

namespace {

std::unique_ptr<valijson::Schema> loadSchema()
{
    const nlohmann::json document = nlohmann::json::parse(embedded::configSchema);
    auto schema = std::make_unique<valijson::Schema>();
    valijson::SchemaParser parser(valijson::SchemaParser::kDraft7);
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(document), *schema);
    return schema;
}

const valijson::Schema &schema()
{
    static const std::unique_ptr<valijson::Schema> loaded = loadSchema();
    return *loaded;
}

/// Converts the path of valijson ("<root>", "[routes]", "[3]") into a JSON pointer.
std::string pointerOf(const std::vector<std::string> &context)
{
    nlohmann::json::json_pointer pointer;
    for (const std::string &part : context) {
        if (part.size() >= 2 && part.front() == '[') {
            pointer.push_back(part.substr(1, part.size() - 2));
        }
    }
    return pointer.to_string();
}

/// Whether `description` is that of an array or object that contains the violation. valijson reports each of them too,
/// but only the innermost violation is useful.
bool isEnclosingError(const std::string &description)
{
    return description.starts_with("Failed to validate item #")
        || description.starts_with("Failed to validate against schema associated with property name");
}

base::ResultCode codeOf(const std::string &description)
{
    if (description.starts_with("Object contains a property that could not be validated")) {
        return base::ResultCode::ConfigUnknownField;
    }
    if (description.starts_with("Expected number")) {
        return base::ResultCode::ConfigOutOfRange;
    }
    return base::ResultCode::ConfigSchema;
}

}

bool checkSchema(const nlohmann::json &parsed, const std::string &file, ErrorList &errors)
{
    valijson::Validator validator;
    valijson::ValidationResults results;
    if (validator.validate(schema(), valijson::adapters::NlohmannJsonAdapter(parsed), &results)) {
        return true;
    }
    valijson::ValidationResults::Error violation;
    while (results.popError(violation)) {
        if (!isEnclosingError(violation.description)) {
            errors.add(codeOf(violation.description), violation.description, {file, pointerOf(violation.context)});
        }
    }
    return false;
}

}
