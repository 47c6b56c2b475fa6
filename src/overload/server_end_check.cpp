#include "overload/server_end_check.hpp"

namespace bronzehub::overload {

void server_end_check::on_server_connect(connect_result result) {
    if (result != connect_result::refused) {
        finish(false);
    } else if (neighbour_accepted_) {
        finish(true);
    } else {
        step_ = step::wait;
    }
}

void server_end_check::on_neighbours_connect(bool any_accepted) {
    neighbour_accepted_ = any_accepted;
    if (any_accepted) {
        step_ = step::connect_to_server;
    } else if (clock_.now() - started_at_ < max_duration) {
        step_ = step::wait;
        pause_ = retry_pause;
    } else {
        finish(false);
    }
}

void server_end_check::on_pause_over() {
    step_ = step::connect_to_neighbours;
}

void server_end_check::on_restart_listed() {
    finish(true);
}

void server_end_check::finish(bool has_ended) {
    has_ended_ = has_ended;
    step_ = step::finish;
}

}  // namespace bronzehub::overload
