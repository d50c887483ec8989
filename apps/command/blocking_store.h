#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "command/store_access.h"
#include "rosemarydrum/configuration/config_editor.h"
#include "rosemarydrum/configuration/config_store.h"

namespace rosemarydrum {

/// Blocking access to a config_store, whose calls are asynchronous.
class blocking_store : public store_access {
 public:
  /// `step` runs the store's event loop for a short time. Each call ends after
  /// `timeout` at the latest. `store` must outlive this object.
  blocking_store(config_store& store, std::function<void()> step,
                 milliseconds timeout);

  result<std::vector<document>> list(std::string_view prefix) override;
  result<document> get(const std::string& key) override;
  result<revision> edit(const std::string& key, const document_value& value,
                        revision expected,
                        const std::string& operation) override;
  result<revision> write(const std::string& key, const std::string& text,
                         revision expected,
                         const std::string& operation) override;

 private:
  template <typename Result, typename Start>
  Result wait(Start start, time_point give_up);
  template <typename Result, typename Start>
  Result read(Start start, time_point give_up);
  void pause(time_point give_up);
  time_point deadline() const;

  config_store& store_;
  std::function<void()> step_;
  milliseconds timeout_;
  config_editor editor_;
};

}  // namespace rosemarydrum
