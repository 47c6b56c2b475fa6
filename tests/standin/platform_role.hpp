// The stand-in for the platform: table service, object store and host list.
//
// Paths and status codes are those of the design page, section 8. Keys in
// paths are percent-encoded. The body of a PUT is the value; responses carry
// values as JSON strings, so that values must be UTF-8.
#ifndef BRONZEHUB_TESTS_STANDIN_PLATFORM_ROLE_HPP
#define BRONZEHUB_TESTS_STANDIN_PLATFORM_ROLE_HPP

#include <string>

#include "exchange.hpp"
#include "nlohmann/json.hpp"
#include "platform/memory_store.hpp"

namespace bronzehub::standin {

class platform_role : public role {
public:
    platform_role() = default;

    void handle(const request& call, const response_ptr& out) override;
    // Writes only: polling reads would fill the journal.
    bool is_journaled(const request& call) const override;
    // Answers with the present host list until `stale` is false again.
    void set_stale_hosts(bool stale) override;

private:
    void read_row(const std::string& table, const std::string& key,
                  const response_ptr& out) const;
    void write_row(const std::string& table, const std::string& key,
                   const request& call, const response_ptr& out);
    void list(const std::string& table, const request& call,
              const response_ptr& out) const;
    void transact(const request& call, const response_ptr& out);
    void object(const std::string& key, const request& call,
                const response_ptr& out);
    void hosts(const request& call, const response_ptr& out);

    platform::memory_store store_;
    nlohmann::json hosts_ = nlohmann::json::array();
    nlohmann::json stale_hosts_;  // Null: the list is not stale.
};

}  // namespace bronzehub::standin

#endif
