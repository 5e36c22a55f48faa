package load

import (
	"bufio"
	"encoding/json"
	"os"
)

// SaveRecords writes the records to a file, one JSON object per line.
func (r *Report) SaveRecords(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer file.Close()
	buffered := bufio.NewWriter(file)
	encoder := json.NewEncoder(buffered)
	for _, record := range r.Records {
		if err := encoder.Encode(record); err != nil {
			return err
		}
	}
	if err := buffered.Flush(); err != nil {
		return err
	}
	return file.Close()
}
