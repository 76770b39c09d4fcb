package direct

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"turmericcove.org/cove"
	"turmericcove.org/cove/internal/route/steer"
)

// placeTopic is the topic of messages about the places of objects.
const placeTopic = "place"

const (
	// placeEvery joins the places that are chosen close together into one
	// message. An object of the traces is asked for about once a second.
	placeEvery = 40 * time.Millisecond
	// placesInMessage keeps a message below the size of a datagram.
	placesInMessage = 10
)

// spreadPlaces tells the other hosts where objects have their place.
func (h *Host) spreadPlaces(ctx context.Context) error {
	for {
		if err := h.Clock.Sleep(ctx, placeEvery); err != nil {
			return err
		}
		for notes := range slices.Chunk(h.steer.DequeueUpdates(), placesInMessage) {
			h.Beacon.Broadcast(placeTopic, notes)
		}
	}
}

func (h *Host) takePlaces(from cove.HostID, body json.RawMessage) {
	var notes []steer.AssignmentUpdate
	if err := json.Unmarshal(body, &notes); err != nil {
		h.Counters.Add("steer.noteUnreadable", 1)
		return
	}
	if back := h.steer.ApplyUpdates(notes); len(back) > 0 {
		h.Beacon.Send(from, placeTopic, back)
	}
}
